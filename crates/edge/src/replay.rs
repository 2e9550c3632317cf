//! Refuses peer messages that were received before.

use model::prelude::*;

/// Sequence numbers of one sender that are remembered behind the highest.
pub const WINDOW: u64 = 4096;

/// Senders that are remembered. The one that was silent longest is forgotten first.
pub const SENDERS_MAX: usize = 2048;

const WORD_BITS: u64 = 64;
const WORDS: usize = (WINDOW / WORD_BITS) as usize;

type Sender = (VmName, Incarnation);

/// The sequence numbers received from each run of a VM.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: FxHashMap<Sender, Window>,
    received: u64,
}

impl ReplayGuard {
    /// Records a message. Returns whether it is the first with its number, and not too old to tell.
    pub fn accept(&mut self, vm: &VmName, incarnation: Incarnation, sequence: u64) -> bool {
        self.received += 1;
        let sender = (vm.clone(), incarnation);
        if !self.windows.contains_key(&sender) && self.windows.len() >= SENDERS_MAX {
            self.evict_oldest();
        }
        let window = self.windows.entry(sender).or_default();
        window.last_used = self.received;
        window.accept(sequence)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.last_used);
        if let Some(sender) = oldest.map(|(sender, _)| sender.clone()) {
            self.windows.remove(&sender);
        }
    }
}

/// The highest number of a sender, and which of the [`WINDOW`] numbers up to it were received.
#[derive(Debug)]
struct Window {
    highest: u64,
    seen: [u64; WORDS],
    last_used: u64,
}

impl Default for Window {
    fn default() -> Window {
        Window { highest: 0, seen: [0; WORDS], last_used: 0 }
    }
}

impl Window {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || self.highest.saturating_sub(sequence) >= WINDOW {
            return false;
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        let (word, bit) = bit_position(sequence);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn advance(&mut self, sequence: u64) {
        let steps = (sequence - self.highest).min(WINDOW);
        for number in sequence - steps + 1..=sequence {
            let (word, bit) = bit_position(number);
            self.seen[word] &= !bit;
        }
        self.highest = sequence;
    }
}

fn bit_position(sequence: u64) -> (usize, u64) {
    let at = sequence % WINDOW;
    ((at / WORD_BITS) as usize, 1 << (at % WORD_BITS))
}
