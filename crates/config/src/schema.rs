//! The schema of the answers file: the settings of each table, and their types. It mirrors the
//! types in [`crate::answers`] and [`crate::types`], and allows all errors to be reported with
//! their lines.

/// The type of a setting's value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SettingType {
    /// Any string.
    Text,
    /// A name that follows the rules of [`model::names`].
    Name,
    /// `true` or `false`.
    Bool,
    /// An integer from zero to `max`.
    Number { max: u64 },
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// A list of names.
    NameList,
    /// An array of tables with these settings.
    Tables(&'static [Setting]),
}

/// A setting of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) name: &'static str,
    pub(crate) ty: SettingType,
    pub(crate) required: bool,
    /// TOML value that replaces a missing or invalid one, so that the other settings can still be
    /// checked.
    pub(crate) placeholder: &'static str,
}

const U32: SettingType = SettingType::Number { max: u32::MAX as u64 };
/// Integers from zero to the largest that TOML can represent.
const U63: SettingType = SettingType::Number { max: i64::MAX as u64 };

const fn required(name: &'static str, ty: SettingType, placeholder: &'static str) -> Setting {
    Setting { name, ty, required: true, placeholder }
}

const fn optional(name: &'static str, ty: SettingType) -> Setting {
    Setting { name, ty, required: false, placeholder: "" }
}

/// The top-level settings of an answers file.
pub(crate) const ANSWERS: &[Setting] = &[
    required("data_centres", SettingType::NameList, "[]"),
    required("holders_per_database", U32, "1"),
    required("cut_off_trust_s", U63, "0"),
    optional("time_zone", SettingType::Text),
    required("services", SettingType::Tables(SERVICE), "[]"),
    required("workspaces", SettingType::Tables(WORKSPACE), "[]"),
];

const SERVICE: &[Setting] = &[
    required("name", SettingType::Name, "\"unnamed\""),
    required("slots", SettingType::NameList, "[]"),
    required("databases", SettingType::Tables(DATABASE), "[]"),
    required("routes", SettingType::Tables(ROUTE), "[]"),
];

const DATABASE: &[Setting] = &[
    required("name", SettingType::Name, "\"unnamed\""),
    required("dc", SettingType::Name, "\"unnamed\""),
    required("address", SettingType::Text, "\"0.0.0.0:1\""),
    required("admin_address", SettingType::Text, "\"0.0.0.0:1\""),
    required("connection_limit", U32, "4294967295"),
    optional("leaving", SettingType::Bool),
];

const ROUTE: &[Setting] = &[
    required("name", SettingType::Name, "\"unnamed\""),
    required("kind", SettingType::OneOf(&["read", "write"]), "\"read\""),
    optional("max_age_ms", U63),
    required("weight", U32, "1"),
    optional("repeatable", SettingType::Bool),
    optional("open", SettingType::Bool),
];

const WORKSPACE: &[Setting] = &[
    required("name", SettingType::Name, "\"unnamed\""),
    required("rate_per_s", U32, "1"),
    required("burst", U32, "4294967295"),
    required("services", SettingType::NameList, "[]"),
    required("objective_ppm", U32, "0"),
    optional("time_zone", SettingType::Text),
];

impl SettingType {
    /// Tells the user how to write a value of this type.
    pub(crate) fn remedy(self) -> String {
        match self {
            SettingType::Text => "write a string in quotes".to_owned(),
            SettingType::Name => {
                "write in quotes 1 to 63 lower-case letters, digits, `-` or `_`, starting with a letter or digit"
                    .to_owned()
            }
            SettingType::Bool => "write true or false".to_owned(),
            SettingType::Number { max } => format!("write a whole number from 0 to {max}"),
            SettingType::OneOf(words) => format!("write one of {}", words.join(", ")),
            SettingType::NameList => "write a list of names, such as [\"north\", \"south\"]".to_owned(),
            SettingType::Tables(_) => "write each as a table under a heading in double brackets".to_owned(),
        }
    }
}
