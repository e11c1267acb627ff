use super::*;

/// Guards against a coding beside `chunked` that is overlooked for its place, its case or its line.
#[test]
fn codings_are_found_in_any_place_case_and_number_of_lines() {
    let cases: [(&[&str], TransferCoding); 21] = [
        (&[], TransferCoding::None),
        (&["chunked"], TransferCoding::Chunked),
        (&[" \tCHUNKed "], TransferCoding::Chunked),
        (&[", ,chunked"], TransferCoding::Chunked),
        (&["", "chunked"], TransferCoding::Chunked),
        (&["gzip, chunked"], TransferCoding::ChunkedOverOthers),
        (&["gzip", "Chunked"], TransferCoding::ChunkedOverOthers),
        (&["identity,chunked"], TransferCoding::ChunkedOverOthers),
        (&["own;a=\"b, c\"", "chunked"], TransferCoding::ChunkedOverOthers),
        (&["\u{e9}", "chunked"], TransferCoding::ChunkedOverOthers),
        (&["gzip"], TransferCoding::Undelimited),
        (&["identity"], TransferCoding::Undelimited),
        (&[""], TransferCoding::Undelimited),
        (&["chunked, gzip"], TransferCoding::Undelimited),
        (&["chunked", "gzip"], TransferCoding::Undelimited),
        (&["chunked, chunked"], TransferCoding::Undelimited),
        (&["chunked", "gzip", "chunked"], TransferCoding::Undelimited),
        (&["chunked,"], TransferCoding::Undelimited),
        (&["chunked", ""], TransferCoding::Undelimited),
        (&["chunked;q=1"], TransferCoding::Undelimited),
        (&["chunkedd"], TransferCoding::Undelimited),
    ];
    for (lines, expected) in cases {
        let coding = TransferCoding::of(lines.iter().map(|line| line.as_bytes()));
        assert_eq!(coding, expected, "{lines:?}");
    }
}
