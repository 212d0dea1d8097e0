//! The order of regions by the total delay of the links to them.

use locate::{RegionLink, region_order};
use types::RegionName;

fn region(name: &str) -> RegionName {
    name.parse().expect("valid name")
}

#[test]
fn the_shortest_path_counts_and_unlinked_regions_are_left_out() {
    let names = ["a", "b", "c", "d", "lone"].map(region);
    let [a, b, c, d, lone] = &names;
    let link = |a, b, delay_us| RegionLink { a, b, delay_us };
    let links = [
        link(a, b, 10),
        link(b, c, 10),
        link(c, a, 50),
        link(d, c, 1),
    ];
    assert_eq!(region_order(a, &links), [(a, 0), (b, 10), (c, 20), (d, 21)]);
    assert_eq!(region_order(d, &links), [(d, 0), (c, 1), (b, 11), (a, 21)]);
    assert_eq!(region_order(lone, &links), [(lone, 0)]);
}
