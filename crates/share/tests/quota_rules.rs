//! The single rules that keep a quota's bound, each at the moment when breaking it would show.

use share::{
    HolderId, Ledger, PLEDGE_MS, QuotaLimit, QuotaTerms, ReturnedTokens, Stock, TOKEN_LIFE_MS,
    Taken, Token, TokenAnswer, TokenGrant, TokenReport, TokenWant,
};
use types::TimeUs;

const TENANT: &str = "acme";

const TERM: u64 = 4;

/// A large bucket that fills slowly: 100 tokens, of which the leader has 70 without pledges and grants
/// 46 at once.
const BURSTY: QuotaLimit = QuotaLimit {
    rate_milli_per_s: 10,
    burst: 100,
};

const LEADER_SIZE: u64 = 70;
const OUTSTANDING_MAX: u64 = 46;

/// A limit that fills by 1,000 tokens a second.
const FAST: QuotaLimit = QuotaLimit {
    rate_milli_per_s: 1_000_000,
    burst: 1_000,
};

const fn at_ms(ms: u64) -> TimeUs {
    TimeUs(5_000_000 + ms * 1_000)
}

/// When a bucket of [`BURSTY`] is full.
const FULL_MS: u64 = 20_000_000;

fn ledger(limit: QuotaLimit) -> Ledger {
    let mut ledger = Ledger::new(TERM, QuotaTerms::default(), at_ms(0));
    ledger.set_limits([(TENANT, limit)].into_iter(), at_ms(0));
    ledger
}

fn gateway(number: u32) -> HolderId {
    HolderId {
        entry: format!("gateway-{number}").parse().expect("a valid name"),
        incarnation: 1,
    }
}

fn want(wanted: u64) -> TokenWant {
    TokenWant {
        tenant: TENANT.to_owned(),
        wanted,
        held: 0,
        returned: Vec::new(),
    }
}

fn report(serial: u64, want: TokenWant) -> TokenReport {
    TokenReport {
        incarnation: 1,
        serial,
        applied: serial - 1,
        term: TERM,
        stamp_us: 0,
        pledges: false,
        parts: 1,
        wants: vec![want],
    }
}

/// What the ledger grants for a report of the first gateway; none when it doesn't answer.
fn granted(ledger: &mut Ledger, report: &TokenReport, ms: u64) -> Option<u64> {
    let answer = ledger.answer(&gateway(1), 1, report, at_ms(ms))?;
    Some(answer.grants.first().map_or(0, |grant| grant.tokens))
}

fn tokens(ledger: &Ledger) -> u64 {
    ledger.rows().next().map_or(0, |row| row.tokens)
}

fn returning(serial: u64, of: u64, tokens: u64) -> TokenReport {
    let mut want = want(0);
    want.returned.push(ReturnedTokens { serial: of, tokens });
    report(serial, want)
}

// Tokens that are counted twice when given back would be granted once more each time.
#[test]
fn tokens_come_back_once_however_often_they_are_returned() {
    let mut ledger = ledger(BURSTY);
    let first = granted(&mut ledger, &report(1, want(OUTSTANDING_MAX)), FULL_MS);
    assert_eq!(first, Some(OUTSTANDING_MAX));
    let back = returning(2, 1, OUTSTANDING_MAX);
    assert_eq!(granted(&mut ledger, &back, FULL_MS + 1), Some(0));
    assert_eq!(tokens(&ledger), LEADER_SIZE);
    // The second half of the bucket, so that a wrong return has room in it.
    assert!(granted(&mut ledger, &report(3, want(40)), FULL_MS + 2).is_some());
    assert_eq!(tokens(&ledger), LEADER_SIZE - 40);
    assert_eq!(granted(&mut ledger, &back, FULL_MS + 3), None);
    let again = returning(4, 1, OUTSTANDING_MAX);
    assert_eq!(granted(&mut ledger, &again, FULL_MS + 4), Some(0));
    assert_eq!(tokens(&ledger), LEADER_SIZE - 40);
}

// A report that comes twice would be granted twice, and the second grant lost to the tenant.
#[test]
fn a_repeated_or_late_report_is_not_answered() {
    let mut ledger = ledger(BURSTY);
    assert_eq!(granted(&mut ledger, &report(7, want(5)), FULL_MS), Some(5));
    assert_eq!(granted(&mut ledger, &report(7, want(5)), FULL_MS), None);
    assert_eq!(granted(&mut ledger, &report(6, want(5)), FULL_MS), None);
    assert_eq!(tokens(&ledger), LEADER_SIZE - 5);
}

// The answer may be lost or under way: the gateway can still use the tokens then.
#[test]
fn a_granted_token_counts_until_it_has_expired_at_the_gateway() {
    let mut ledger = ledger(BURSTY);
    granted(&mut ledger, &report(1, want(OUTSTANDING_MAX)), FULL_MS);
    let unanswered = |serial| TokenReport {
        applied: 0,
        ..report(serial, want(OUTSTANDING_MAX))
    };
    let at_end_ms = FULL_MS + TOKEN_LIFE_MS;
    assert_eq!(granted(&mut ledger, &unanswered(2), at_end_ms), Some(0));
    let left = Some(LEADER_SIZE - OUTSTANDING_MAX);
    assert_eq!(granted(&mut ledger, &unanswered(3), at_end_ms + 60), left);
}

// What a gateway says of tokens of another leader says nothing about those of this one.
#[test]
fn a_report_to_an_earlier_leader_settles_nothing() {
    let mut ledger = ledger(BURSTY);
    granted(&mut ledger, &report(1, want(40)), FULL_MS);
    let mut stale = returning(2, 1, 40);
    stale.term = TERM - 1;
    granted(&mut ledger, &stale, FULL_MS + 1);
    assert_eq!(tokens(&ledger), LEADER_SIZE - 40);
    assert_eq!(ledger.rows().next().map(|row| row.outstanding), Some(40));
}

// Without the limit, a new leader would add a full bucket to what gateways have in hand from the one
// before.
#[test]
fn a_new_leader_holds_a_third_until_earlier_tokens_have_expired() {
    // 0.7 of 1,000 tokens, and of the rate.
    const THIRD: u64 = 233;
    let mut ledger = ledger(FAST);
    let mut total = 0;
    for n in 1..=10 {
        total += granted(&mut ledger, &report(n, want(1_000)), n * 100).unwrap_or(0);
        // The gateway has used all, but nobody knows of those of the leader before.
    }
    let rate_part = 700;
    assert!(total <= rate_part, "{total}");
    let mut late = self::ledger(FAST);
    let at_once = granted(&mut late, &report(1, want(1_000)), 1_000);
    assert_eq!(at_once, Some(THIRD));
}

// The leader must not have the static parts of gateways that may use them.
#[test]
fn static_parts_count_for_the_leader_only_while_they_are_pledged() {
    // Tokens that the leader has after 100 ms, in which all buckets together got 100.
    let filled = |stamp_us: u64, term: u64| {
        let mut ledger = ledger(FAST);
        let pledge = TokenReport {
            pledges: true,
            stamp_us,
            term,
            wants: Vec::new(),
            ..report(1, want(0))
        };
        granted(&mut ledger, &pledge, 0);
        granted(&mut ledger, &report(2, want(0)), 100);
        tokens(&ledger)
    };
    let whole = 99..=100;
    let part = 69..=70;
    assert!(whole.contains(&filled(at_ms(0).0, TERM)));
    // A pledge to the leader before, and one that has ended.
    assert!(part.contains(&filled(at_ms(0).0, TERM - 1)));
    assert!(part.contains(&filled(at_ms(0).0 - 2_425_000, TERM)));
}

fn stock(limit: QuotaLimit) -> Stock {
    let mut stock = Stock::new(1, QuotaTerms::default(), at_ms(0));
    stock.set_limits([(TENANT, limit)].into_iter(), at_ms(0));
    stock.record_leader(at_ms(0));
    stock.record_gateways(1, at_ms(0));
    stock
}

fn answer(serial: u64, tokens: u64) -> TokenAnswer {
    TokenAnswer {
        serial,
        term: TERM,
        stamp_us: 9,
        grants: vec![TokenGrant {
            tenant: TENANT.to_owned(),
            tokens,
            retry_after_ms: 0,
        }],
    }
}

fn sent(stock: &mut Stock, ms: u64) -> u64 {
    stock.report(at_ms(ms)).expect("a report").serial
}

fn token(stock: &mut Stock, ms: u64) -> Option<Token> {
    match stock.take(TENANT, at_ms(ms)) {
        Taken::Token(token) => Some(token),
        Taken::Wait | Taken::Refused { .. } => None,
    }
}

// The leader counts a token from the grant, which may be long before the answer arrives.
#[test]
fn a_token_lasts_from_when_it_was_asked_for() {
    let mut stock = stock(FAST);
    let serial = sent(&mut stock, 0);
    assert_eq!(stock.apply(&answer(serial, 2), at_ms(900)), 2);
    assert!(token(&mut stock, TOKEN_LIFE_MS - 1).is_some());
    assert!(token(&mut stock, TOKEN_LIFE_MS).is_none());
    let serial = sent(&mut stock, 1_000);
    assert_eq!(stock.apply(&answer(serial, 2), at_ms(2_000)), 0);
    assert!(token(&mut stock, 2_000).is_none());
}

#[test]
fn an_answer_counts_once_and_not_after_a_later_one() {
    let mut stock = stock(FAST);
    let (first, second) = (sent(&mut stock, 0), sent(&mut stock, 50));
    assert_eq!(stock.apply(&answer(second, 2), at_ms(60)), 2);
    assert_eq!(stock.apply(&answer(second, 2), at_ms(61)), 0);
    assert_eq!(stock.apply(&answer(first, 2), at_ms(62)), 0);
    assert_eq!(stock.apply(&answer(9, 2), at_ms(63)), 0);
}

// The leader has given the room of a token that was reported as used to others.
#[test]
fn a_token_comes_back_only_until_it_was_reported_as_used() {
    let mut stock = stock(FAST);
    let serial = sent(&mut stock, 0);
    stock.apply(&answer(serial, 2), at_ms(10));
    let early = token(&mut stock, 11).expect("a token");
    stock.give_back(TENANT, early, at_ms(12));
    let late = token(&mut stock, 13).expect("a token");
    assert!(token(&mut stock, 13).is_some());
    let report = stock.report(at_ms(20)).expect("a report");
    assert_eq!(report.wants[0].held, 0);
    stock.give_back(TENANT, late, at_ms(21));
    assert!(token(&mut stock, 22).is_none());
}

// Tokens that lie unused at one gateway are missing at others.
#[test]
fn unused_tokens_are_given_back_before_they_expire() {
    let mut stock = stock(FAST);
    let serial = sent(&mut stock, 0);
    stock.apply(&answer(serial, 30), at_ms(10));
    assert!(!stock.is_report_due(at_ms(400)));
    assert!(stock.is_report_due(at_ms(500)));
    let report = stock.report(at_ms(500)).expect("a report");
    let returned = ReturnedTokens { serial, tokens: 30 };
    assert_eq!(report.wants[0].returned, [returned]);
    assert!(token(&mut stock, 501).is_none());
}

/// A stock that was in touch until `ms`, and pledged then.
fn pledged(ms: u64) -> Stock {
    let mut stock = stock(FAST);
    for n in 0..=ms / 500 {
        stock.record_leader(at_ms(n * 500));
        let serial = sent(&mut stock, n * 500);
        stock.apply(&answer(serial, 0), at_ms(n * 500 + 1));
    }
    stock
}

// Until its pledge has ended the leader grants a gateway's static part to others.
#[test]
fn static_tokens_accrue_only_after_the_pledge() {
    const LAST_MS: u64 = 10_000;
    let mut stock = pledged(LAST_MS);
    assert!(token(&mut stock, LAST_MS + PLEDGE_MS - 1).is_none());
    // 0.3 of 1,000 a second.
    assert!(token(&mut stock, LAST_MS + PLEDGE_MS + 2).is_none());
    let now_ms = LAST_MS + PLEDGE_MS + 4;
    let taken = token(&mut stock, now_ms).expect("a static token");
    // The part may have filled up since it was taken, so that it doesn't come back.
    stock.give_back(TENANT, taken, at_ms(now_ms));
    assert!(token(&mut stock, now_ms).is_none());
}

// The window before may hold static tokens; the leader would add the same part for the rest of it.
#[test]
fn after_static_tokens_a_gateway_pledges_again_one_window_later() {
    const LAST_MS: u64 = 10_000;
    const USED_MS: u64 = 20_000;
    let mut stock = pledged(LAST_MS);
    assert!(token(&mut stock, USED_MS).is_some());
    let mut pledges = |ms: u64| {
        stock.record_leader(at_ms(ms));
        stock.report(at_ms(ms)).expect("a report").pledges
    };
    assert!(!pledges(USED_MS + 4_999));
    assert!(pledges(USED_MS + 5_000));
}

// A gateway that has just started may know too few others, so that its part would be too large.
#[test]
fn there_is_no_static_part_until_the_number_of_gateways_is_steady() {
    const GROWN_MS: u64 = 4_000;
    let mut stock = stock(FAST);
    stock.record_gateways(2, at_ms(GROWN_MS));
    assert!(token(&mut stock, GROWN_MS + 4_990).is_none());
    assert!(token(&mut stock, GROWN_MS + 5_010).is_some());
}

// A gateway that is cut off would keep its part for ever, also when others were started in its place.
#[test]
fn the_static_part_ends_ten_minutes_after_the_last_sign_of_a_leader() {
    let mut stock = stock(FAST);
    assert!(token(&mut stock, share::STATIC_LIFE_MS - 1).is_some());
    assert!(token(&mut stock, share::STATIC_LIFE_MS).is_none());
}
