//! A value as the check sees it, whether it stands in a text with lines or came as a tree.

use serde_json::Value;
use toml::de::DeValue;
use toml::Spanned;

/// A value of a TOML text, with its place, or of a JSON tree.
#[derive(Clone, Copy)]
pub enum Node<'a> {
    /// Of a text.
    Toml(&'a Spanned<DeValue<'a>>),
    /// Of a tree.
    Json(&'a Value),
}

/// A member of a table: name, where the name stands as an offset in bytes, value.
pub type Member<'a> = (&'a str, usize, Node<'a>);

/// What a value is.
pub enum Shape<'a> {
    /// Members by name.
    Table(Vec<Member<'a>>),
    /// Items in order.
    List(Vec<Node<'a>>),
    /// A text.
    Text(&'a str),
    /// A whole number; none: one too large.
    Whole(Option<f64>),
    /// A number with a point; none: one that can't be read.
    Point(Option<f64>),
    /// True or false.
    Truth,
    /// A date.
    Date,
    /// Nothing.
    Null,
}

impl Shape<'_> {
    /// What it is, in words.
    pub fn words(&self) -> &'static str {
        match self {
            Shape::Table(_) => "a table",
            Shape::List(_) => "a list",
            Shape::Text(_) => "a text",
            Shape::Whole(_) => "a whole number",
            Shape::Point(_) => "a number with a point",
            Shape::Truth => "true or false",
            Shape::Date => "a date",
            Shape::Null => "nothing",
        }
    }
}

impl<'a> Node<'a> {
    /// Where it stands, as an offset in bytes; 0 in a tree.
    pub fn offset(&self) -> usize {
        match self {
            Node::Toml(value) => value.span().start,
            Node::Json(_) => 0,
        }
    }

    /// What it is.
    pub fn shape(&self) -> Shape<'a> {
        match *self {
            Node::Toml(value) => match value.get_ref() {
                DeValue::Table(table) => Shape::Table(members(table)),
                DeValue::Array(list) => Shape::List(list.iter().map(Node::Toml).collect()),
                DeValue::String(text) => Shape::Text(text),
                DeValue::Integer(n) => {
                    Shape::Whole(i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64))
                }
                DeValue::Float(n) => Shape::Point(n.as_str().parse().ok()),
                DeValue::Boolean(_) => Shape::Truth,
                DeValue::Datetime(_) => Shape::Date,
            },
            Node::Json(value) => match value {
                Value::Object(table) => {
                    Shape::Table(table.iter().map(|(n, v)| (n.as_str(), 0, Node::Json(v))).collect())
                }
                Value::Array(list) => Shape::List(list.iter().map(Node::Json).collect()),
                Value::String(text) => Shape::Text(text),
                Value::Number(n) if n.is_f64() => Shape::Point(n.as_f64()),
                Value::Number(n) => Shape::Whole(n.as_f64()),
                Value::Bool(_) => Shape::Truth,
                Value::Null => Shape::Null,
            },
        }
    }
}

/// The members of a table of a text.
pub fn members<'a>(table: &'a toml::de::DeTable<'a>) -> Vec<Member<'a>> {
    let member = |(name, value): (&'a Spanned<_>, &'a Spanned<DeValue<'a>>)| {
        let text: &'a std::borrow::Cow<'a, str> = name.get_ref();
        (text.as_ref(), name.span().start, Node::Toml(value))
    };
    table.iter().map(member).collect()
}
