//! A value as the check sees it, whether it is in a text with lines or in a tree.

use serde_json::Value;
use toml::de::DeValue;
use toml::Spanned;

/// A value of a TOML text, with its position, or of a JSON tree.
#[derive(Clone, Copy)]
pub enum Node<'a> {
    /// Of a text.
    Toml(&'a Spanned<DeValue<'a>>),
    /// Of a tree.
    Json(&'a Value),
}

/// A member of a table.
pub struct Member<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where the name is, as an offset in bytes; 0 in a tree.
    pub offset: usize,
    /// Its value.
    pub value: Node<'a>,
}

/// The type of a value, and what the check has to know of the value.
pub enum Shape<'a> {
    /// A table and its members.
    Table(Vec<Member<'a>>),
    /// A list and its items in order.
    List(Vec<Node<'a>>),
    /// A text.
    Text(&'a str),
    /// An integer; none: too large.
    Integer(Option<f64>),
    /// A number with a decimal point; none: it can't be read.
    Float(Option<f64>),
    /// True or false.
    Boolean,
    /// A date.
    Date,
    /// Null.
    Null,
}

impl Shape<'_> {
    /// The name of the type, for messages.
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

impl<'a> Node<'a> {
    /// Where the value is, as an offset in bytes; 0 in a tree.
    pub fn offset(&self) -> usize {
        match self {
            Node::Toml(value) => value.span().start,
            Node::Json(_) => 0,
        }
    }

    /// The type of the value.
    pub fn shape(&self) -> Shape<'a> {
        match *self {
            Node::Toml(value) => toml_shape(value.get_ref()),
            Node::Json(value) => json_shape(value),
        }
    }
}

fn toml_shape<'a>(value: &'a DeValue<'a>) -> Shape<'a> {
    match value {
        DeValue::Table(table) => Shape::Table(members(table)),
        DeValue::Array(list) => Shape::List(list.iter().map(Node::Toml).collect()),
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
            let member = members.map(|(name, value)| Member { name, offset: 0, value: Node::Json(value) });
            Shape::Table(member.collect())
        }
        Value::Array(list) => Shape::List(list.iter().map(Node::Json).collect()),
        Value::String(text) => Shape::Text(text),
        Value::Number(number) if number.is_f64() => Shape::Float(number.as_f64()),
        Value::Number(number) => Shape::Integer(number.as_f64()),
        Value::Bool(_) => Shape::Boolean,
        Value::Null => Shape::Null,
    }
}

/// The members of a table of a text.
pub fn members<'a>(table: &'a toml::de::DeTable<'a>) -> Vec<Member<'a>> {
    let member = |(name, value): (&'a Spanned<_>, &'a Spanned<DeValue<'a>>)| {
        let text: &'a std::borrow::Cow<'a, str> = name.get_ref();
        Member { name: text.as_ref(), offset: name.span().start, value: Node::Toml(value) }
    };
    table.iter().map(member).collect()
}
