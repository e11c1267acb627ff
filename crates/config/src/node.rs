//! A common view of TOML and JSON values for the validation.

use serde_json::Value;
use toml::de::DeValue;
use toml::Spanned;

/// A value of a TOML text, with its position, or of a JSON tree.
#[derive(Clone, Copy)]
pub enum ConfigValue<'a> {
    /// A value of a TOML text.
    Toml(&'a Spanned<DeValue<'a>>),
    /// A value of a JSON tree.
    Json(&'a Value),
}

/// A member of a table.
pub struct Member<'a> {
    /// The key of the member.
    pub name: &'a str,
    /// Offset of the key in the text, in bytes; 0 in a tree.
    pub offset: usize,
    /// The value of the member.
    pub value: ConfigValue<'a>,
}

/// The type of a value, with the data that the validation needs.
pub enum Shape<'a> {
    /// A table with its members.
    Table(Vec<Member<'a>>),
    /// A list with its items in order.
    List(Vec<ConfigValue<'a>>),
    /// A string.
    Text(&'a str),
    /// An integer, or `None` if it is too large.
    Integer(Option<f64>),
    /// A floating-point number, or `None` if it can't be parsed.
    Float(Option<f64>),
    /// A boolean.
    Boolean,
    /// A date or time.
    Date,
    /// Null.
    Null,
}

impl Shape<'_> {
    /// Returns the name of the type, for messages.
    pub fn name(&self) -> &'static str {
        match self {
            Shape::Table(_) => "a table",
            Shape::List(_) => "a list",
            Shape::Text(_) => "a text",
            Shape::Integer(_) => "a whole number",
            Shape::Float(_) => "a number with a point",
            Shape::Boolean => "true or false",
            Shape::Date => "a date",
            Shape::Null => "nothing",
        }
    }
}

impl<'a> ConfigValue<'a> {
    /// Returns the offset of the value in the text, in bytes; 0 in a tree.
    pub fn offset(&self) -> usize {
        match self {
            ConfigValue::Toml(value) => value.span().start,
            ConfigValue::Json(_) => 0,
        }
    }

    /// Returns the type of the value.
    pub fn shape(&self) -> Shape<'a> {
        match *self {
            ConfigValue::Toml(value) => toml_shape(value.get_ref()),
            ConfigValue::Json(value) => json_shape(value),
        }
    }
}

fn toml_shape<'a>(value: &'a DeValue<'a>) -> Shape<'a> {
    match value {
        DeValue::Table(table) => Shape::Table(members(table)),
        DeValue::Array(list) => Shape::List(list.iter().map(ConfigValue::Toml).collect()),
        DeValue::String(text) => Shape::Text(text),
        DeValue::Integer(integer) => {
            let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok();
            Shape::Integer(number.map(|number| number as f64))
        }
        DeValue::Float(float) => Shape::Float(float.as_str().parse().ok()),
        DeValue::Boolean(_) => Shape::Boolean,
        DeValue::Datetime(_) => Shape::Date,
    }
}

fn json_shape(value: &Value) -> Shape<'_> {
    match value {
        Value::Object(table) => {
            let members = table.iter();
            let member =
                members.map(|(name, value)| Member { name, offset: 0, value: ConfigValue::Json(value) });
            Shape::Table(member.collect())
        }
        Value::Array(list) => Shape::List(list.iter().map(ConfigValue::Json).collect()),
        Value::String(text) => Shape::Text(text),
        Value::Number(number) if number.is_f64() => Shape::Float(number.as_f64()),
        Value::Number(number) => Shape::Integer(number.as_f64()),
        Value::Bool(_) => Shape::Boolean,
        Value::Null => Shape::Null,
    }
}

/// Returns the members of a TOML table.
pub fn members<'a>(table: &'a toml::de::DeTable<'a>) -> Vec<Member<'a>> {
    let member = |(name, value): (&'a Spanned<_>, &'a Spanned<DeValue<'a>>)| {
        let text: &'a std::borrow::Cow<'a, str> = name.get_ref();
        Member { name: text.as_ref(), offset: name.span().start, value: ConfigValue::Toml(value) }
    };
    table.iter().map(member).collect()
}
