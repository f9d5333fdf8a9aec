//! A JSON reader for the few messages of the platform's protocol.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars = text.chars().collect::<Vec<_>>();
        let mut reader = Reader { chars, at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.chars.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let found = fields.iter().find(|(name, _)| name == key);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Number(value) => Some(*value as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: char) -> Option<()> {
        self.skip_space();
        let found = self.chars.get(self.at) == Some(&expected);
        found.then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for expected in word.chars() {
            (self.chars.get(self.at) == Some(&expected)).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.chars.get(self.at)? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => self.list(),
            '{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let part = |it: &char| it.is_ascii_digit() || "+-.eE".contains(*it);
        while self.chars.get(self.at).is_some_and(part) {
            self.at += 1;
        }
        let text = self.chars[start..self.at].iter().collect::<String>();
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let next = *self.chars.get(self.at)?;
            self.at += 1;
            match next {
                '"' => return Some(text),
                '\\' => {
                    let escape = *self.chars.get(self.at)?;
                    self.at += 1;
                    text.push(match escape {
                        'n' => '\n',
                        't' => '\t',
                        'r' => '\r',
                        'b' => '\u{8}',
                        'f' => '\u{c}',
                        'u' => {
                            let digits = self.chars.get(self.at..self.at + 4)?;
                            let digits = digits.iter().collect::<String>();
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?
                        }
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut values = Vec::new();
        if self.take(']').is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(',').is_none() {
                self.take(']')?;
                return Some(Json::List(values));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = Vec::new();
        if self.take('}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(':')?;
            fields.push((name, self.value()?));
            if self.take(',').is_none() {
                self.take('}')?;
                return Some(Json::Object(fields));
            }
        }
    }
}
