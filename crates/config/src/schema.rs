//! Which settings the answers have, and of which type each is.

/// The type of a setting.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// Any text.
    Text,
    /// A name, see [`model::names`].
    Name,
    /// `true` or `false`.
    Flag,
    /// A whole number from zero to `max`.
    Number { max: u64 },
    /// One of these words.
    Word(&'static [&'static str]),
    /// A list of names.
    Names,
    /// Tables, each with these settings.
    Tables(&'static [Setting]),
}

/// A setting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) name: &'static str,
    pub(crate) shape: Shape,
    pub(crate) required: bool,
    /// What stands for a missing or unreadable value, so that the rest can be checked all the same.
    pub(crate) stand_in: &'static str,
}

const U32: Shape = Shape::Number { max: u32::MAX as u64 };
const U63: Shape = Shape::Number { max: i64::MAX as u64 };

const fn required(name: &'static str, shape: Shape, stand_in: &'static str) -> Setting {
    Setting { name, shape, required: true, stand_in }
}

const fn optional(name: &'static str, shape: Shape) -> Setting {
    Setting { name, shape, required: false, stand_in: "" }
}

/// The settings of a team's answers.
pub(crate) const ANSWERS: &[Setting] = &[
    required("data_centres", Shape::Names, "[]"),
    required("holders_per_database", U32, "1"),
    required("cut_off_trust_s", U63, "0"),
    optional("time_zone", Shape::Text),
    required("services", Shape::Tables(SERVICE), "[]"),
    required("workspaces", Shape::Tables(WORKSPACE), "[]"),
];

const SERVICE: &[Setting] = &[
    required("name", Shape::Name, "\"unnamed\""),
    required("slots", Shape::Names, "[]"),
    required("databases", Shape::Tables(DATABASE), "[]"),
    required("routes", Shape::Tables(ROUTE), "[]"),
];

const DATABASE: &[Setting] = &[
    required("name", Shape::Name, "\"unnamed\""),
    required("dc", Shape::Name, "\"unnamed\""),
    required("address", Shape::Text, "\"0.0.0.0:1\""),
    required("admin_address", Shape::Text, "\"0.0.0.0:1\""),
    required("connection_limit", U32, "4294967295"),
    optional("leaving", Shape::Flag),
];

const ROUTE: &[Setting] = &[
    required("name", Shape::Name, "\"unnamed\""),
    required("kind", Shape::Word(&["read", "write"]), "\"read\""),
    optional("max_age_ms", U63),
    required("weight", U32, "1"),
    optional("repeatable", Shape::Flag),
    optional("open", Shape::Flag),
];

const WORKSPACE: &[Setting] = &[
    required("name", Shape::Name, "\"unnamed\""),
    required("rate_per_s", U32, "1"),
    required("burst", U32, "4294967295"),
    required("services", Shape::Names, "[]"),
    required("objective_ppm", U32, "0"),
    optional("time_zone", Shape::Text),
];

impl Shape {
    /// What a value of this shape looks like.
    pub(crate) fn remedy(self) -> String {
        match self {
            Shape::Text => "write a text in quotes".to_owned(),
            Shape::Name => {
                "write in quotes 1 to 63 lower-case letters, digits, `-` or `_`, starting with a letter or digit"
                    .to_owned()
            }
            Shape::Flag => "write true or false".to_owned(),
            Shape::Number { max } => format!("write a whole number from 0 to {max}"),
            Shape::Word(words) => format!("write one of {}", words.join(", ")),
            Shape::Names => "write a list of names, such as [\"north\", \"south\"]".to_owned(),
            Shape::Tables(_) => "write each as a table under a heading in double brackets".to_owned(),
        }
    }
}
