//! Frames open in the order in which they were sealed; altered, repeated, dropped and short ones
//! don't.

use bytes::BytesMut;
use link::seal::{MAC_BYTES, Opener, Sealer};

const KEY: &[u8] = b"a key of one direction";

fn sealed_frames(count: u8) -> Vec<BytesMut> {
    let mut sealer = Sealer::new(KEY);
    (0..count)
        .map(|index| {
            let mut content = BytesMut::from(&[index; 40][..]);
            sealer.seal(&mut content);
            content
        })
        .collect()
}

#[test]
fn opens_frames_in_order() {
    let mut opener = Opener::new(KEY);
    for (index, frame) in sealed_frames(3).into_iter().enumerate() {
        let content = opener.open(frame).expect("the next frame");
        assert_eq!(content.as_ref(), &[u8::try_from(index).expect("small"); 40]);
    }
}

#[test]
fn refuses_every_altered_byte() {
    let frame = sealed_frames(1).remove(0);
    for position in 0..frame.len() {
        let mut altered = frame.clone();
        altered[position] ^= 1;
        assert!(Opener::new(KEY).open(altered).is_err());
    }
}

#[test]
fn refuses_repeated_dropped_and_short_frames() {
    let frames = sealed_frames(2);
    let mut opener = Opener::new(KEY);
    opener.open(frames[0].clone()).expect("the first frame");
    assert!(opener.open(frames[0].clone()).is_err());
    assert!(Opener::new(KEY).open(frames[1].clone()).is_err());
    assert!(
        Opener::new(KEY)
            .open(BytesMut::zeroed(MAC_BYTES - 1))
            .is_err()
    );
    assert!(Opener::new(b"another key").open(frames[0].clone()).is_err());
}
