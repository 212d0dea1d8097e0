//! Compares look-ups with a linear search through all prefixes, and bounds their memory and their
//! number of comparisons.

use locate::{BlockError, ClientBlocks, ClientBlocksBuilder, HEAP_MAX_BYTES, Prefix};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The number of client blocks that the system is designed for.
const BLOCK_COUNT: u32 = 970_000;

/// The memory limit of a whole daemon.
const DAEMON_MAX_BYTES: usize = 32 * 1_000_000;

/// The most comparisons of one look-up, which may search two arrays of ranges of the size that the
/// system is designed for. The test fills one array at a time, and so measures a search of one.
const COMPARISONS_MAX: u32 = 48;

const REGIONS: [&str; 4] = ["gauteng", "kwazulu-natal", "western-cape", "nairobi"];

fn build(lines: &[String]) -> Result<ClientBlocks, BlockError> {
    let mut builder = ClientBlocksBuilder::new();
    for (line, text) in (1..).zip(lines) {
        builder.declare_line(line, text)?;
    }
    builder.build()
}

/// The prefix of an address: the bits beyond the length are cleared.
fn prefix(address: IpAddr, len_bits: u8) -> Prefix {
    let first = match address {
        IpAddr::V4(address) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(len_bits)).unwrap_or(0);
            Ipv4Addr::from_bits(address.to_bits() & mask).into()
        }
        IpAddr::V6(address) => {
            let mask = u128::MAX
                .checked_shl(128 - u32::from(len_bits))
                .unwrap_or(0);
            Ipv6Addr::from_bits(address.to_bits() & mask).into()
        }
    };
    Prefix::new(first, len_bits).expect("no bits beyond the length")
}

/// Addresses with many common prefixes, at both ends of the address space.
fn addresses() -> impl Strategy<Value = IpAddr> {
    let v4 = prop::sample::select(vec![0, 0x0a00_0000, 0xffff_ff00]);
    let v4 = (v4, 0_u32..512).prop_map(|(base, low)| IpAddr::V4((base | low).into()));
    let halves = prop::sample::select(vec![0, 0x2001_0db8_0000_0000, u64::MAX - 3]);
    let v6 = (halves, 0_u64..4, prop::sample::select(vec![0, 1, u64::MAX]));
    let v6 = v6.prop_map(|(upper, low, lower)| {
        let bits = (u128::from(upper | low) << 64) | u128::from(lower);
        IpAddr::V6(bits.into())
    });
    prop::strategy::Union::new([v4.boxed(), v6.boxed()])
}

fn prefixes() -> impl Strategy<Value = Prefix> {
    (addresses(), any::<u8>()).prop_map(|(address, len)| match address {
        IpAddr::V4(_) => prefix(address, len % 33),
        IpAddr::V6(_) => prefix(address, len % 129),
    })
}

proptest! {
    #[test]
    fn finds_the_longest_prefix(
        declared in prop::collection::btree_map(prefixes(), 0..REGIONS.len(), 0..40),
        queried in prop::collection::vec(addresses(), 1..60),
    ) {
        let lines: Vec<String> = declared
            .iter()
            .rev()
            .map(|(prefix, region)| format!("{prefix} {}", REGIONS[*region]))
            .collect();
        let blocks = build(&lines).expect("valid blocks");
        for address in queried {
            let containing = declared.iter().filter(|(prefix, _)| prefix.contains(address));
            let longest = containing.max_by_key(|(prefix, _)| prefix.len_bits());
            let expected = longest.map(|(_, region)| REGIONS[*region]);
            prop_assert_eq!(blocks.region(address).map(|name| name.as_str()), expected);
        }
    }

    #[test]
    fn a_prefix_parses_back_from_its_text(prefix in prefixes()) {
        prop_assert_eq!(prefix.to_string().parse(), Ok(prefix));
        prop_assert!(prefix.contains(prefix.address()));
    }
}

#[test]
fn a_mapped_address_counts_as_ipv4() {
    let blocks = build(&["10.0.0.0/8 nairobi".to_owned()]).expect("valid blocks");
    let address = "::ffff:10.1.2.3".parse().expect("an address");
    assert_eq!(
        blocks.region(address).map(|name| name.as_str()),
        Some("nairobi")
    );
}

#[test]
fn errors_name_their_line() {
    for (lines, expected) in [
        ("10.0.0.0/8", "line 1 is not PREFIX REGION"),
        ("10.0.0.0/8 a b", "line 1 is not PREFIX REGION"),
        (
            "# one\n\n10.0.0.0 a",
            "line 3: \"10.0.0.0\" is not an address prefix",
        ),
        (
            "10.0.0.1/8 a",
            "line 1: \"10.0.0.1/8\" is not an address prefix",
        ),
        (
            "10.0.0.0/33 a",
            "line 1: \"10.0.0.0/33\" is not an address prefix",
        ),
        (
            "2001::/129 a",
            "line 1: \"2001::/129\" is not an address prefix",
        ),
        ("10.0.0.0/8 A", "line 1: \"A\" is not the name of a region"),
        ("::/0 a\n::/0 b", "line 2: ::/0 is declared more than once"),
        (
            "10.0.0.0/8 a\n0.0.0.0/0 a\n10.0.0.0/8 a",
            "line 3: 10.0.0.0/8 is declared more than once",
        ),
    ] {
        let lines: Vec<String> = lines.lines().map(str::to_owned).collect();
        let error = build(&lines).expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}

/// Builds blocks with a gap after each, so that every block makes two ranges.
fn build_separated(prefix: impl Fn(u32) -> Prefix) -> Result<ClientBlocks, BlockError> {
    let mut builder = ClientBlocksBuilder::new();
    for block in 0..BLOCK_COUNT {
        builder.declare(block, prefix(block), REGIONS[block as usize % 4])?;
    }
    builder.build()
}

fn v4_block(block: u32) -> Prefix {
    prefix(Ipv4Addr::from_bits(block * 4096).into(), 24)
}

fn v6_block(block: u32) -> Prefix {
    let bits = (0x2000_u128 << 112) | (u128::from(block) << 81);
    prefix(Ipv6Addr::from_bits(bits).into(), 48)
}

#[test]
fn blocks_of_the_design_size_stay_within_memory_and_comparisons() {
    for block in [v4_block, v6_block] {
        let blocks = build_separated(block).expect("valid blocks");
        assert_eq!(blocks.ranges(), 2 * BLOCK_COUNT as usize);
        assert!(blocks.heap_bytes() <= HEAP_MAX_BYTES);
        // A quarter of the daemon's memory has to remain for everything else.
        assert!(4 * blocks.heap_bytes() <= 3 * DAEMON_MAX_BYTES);
        for queried in (0..BLOCK_COUNT).step_by(997) {
            let found = blocks.find_counted(block(queried).address());
            let expected = REGIONS[queried as usize % 4];
            assert_eq!(found.region.map(|name| name.as_str()), Some(expected));
            assert!(
                found.comparisons <= COMPARISONS_MAX,
                "{} comparisons",
                found.comparisons
            );
        }
    }
}

#[test]
fn blocks_beyond_the_memory_limit_are_rejected() {
    let long = |block| {
        let bits = (0x2000_u128 << 112) | (u128::from(block) << 8);
        prefix(Ipv6Addr::from_bits(bits).into(), 127)
    };
    let error = build_separated(long).expect_err("too large");
    assert!(matches!(error, BlockError::TooLarge { .. }), "{error}");
}
