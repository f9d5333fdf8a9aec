//! Processes that a test starts, signals and ends, each by its own id.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::LazyLock;
use std::time::SystemTime;

use rustix::process::{Pid, Signal, kill_process};

use super::wait::wait_for;

/// The directories of the crates that the binary of the entry VM is built from.
const PRODUCT_CRATES: [&str; 7] = [
    "crates/types",
    "crates/config",
    "crates/dispatch",
    "crates/fleet",
    "crates/wire",
    "crates/filbertpitch",
    "platform",
];

/// The binary `name` of the build that this test belongs to.
///
/// # Panics
/// When it is missing, or older than its sources: `cargo test` with a filter for packages or test
/// targets does not build it, and the tests would judge an earlier version.
pub fn binary(name: &str) -> PathBuf {
    static CHECKED: LazyLock<()> = LazyLock::new(assert_current);
    LazyLock::force(&CHECKED);
    binary_path(name)
}

fn binary_path(name: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the test executable");
    let directory = executable.ancestors().nth(2).expect("a target directory");
    directory.join(name)
}

fn assert_current() {
    let built = modified(&binary_path("filbertpitch"));
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sources = PRODUCT_CRATES.map(|path| newest(&workspace.join(path).join("src")));
    let current = built.is_some() && built >= sources.into_iter().max().flatten();
    assert!(
        current,
        "the entry VM is missing or older than its sources; run `cargo build --workspace`"
    );
}

fn newest(path: &Path) -> Option<SystemTime> {
    let Ok(directory) = fs::read_dir(path) else {
        return modified(path);
    };
    let paths = directory.flatten().map(|entry| entry.path());
    paths.filter_map(|path| newest(&path)).max()
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// A process whose output goes to a file. It is killed when this value is dropped.
pub struct TestProcess {
    child: Child,
    output: PathBuf,
}

impl TestProcess {
    /// Starts a binary of this build; `output` is created.
    ///
    /// # Panics
    /// When the process cannot be started.
    pub fn start<Arguments>(name: &str, arguments: Arguments, output: PathBuf) -> Self
    where
        Arguments: IntoIterator<Item: AsRef<std::ffi::OsStr>>,
    {
        let file = File::create(&output).expect("an output file");
        let errors = file.try_clone().expect("an output file");
        let child = Command::new(binary(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .expect("the process starts");
        Self { child, output }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process only.
    ///
    /// # Panics
    /// When the process has been waited for already.
    pub fn signal(&mut self, signal: Signal) {
        assert!(self.exit_status().is_none(), "the process has ended");
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists until it is waited for");
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child of this process")
    }

    /// Waits until the process ends.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.output.display());
        wait_for(&what, async || self.exit_status()).await
    }

    /// What the process wrote to both of its outputs.
    pub fn output_text(&self) -> String {
        read_text(&self.output)
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // A process that has ended already needs no kill. SIGKILL also ends a stopped one.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The content of a file, empty if it cannot be read.
pub fn read_text(path: &Path) -> String {
    let bytes = fs::read(path).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}
