//! Replay protection: detects peer messages that were received before.

use model::prelude::*;

/// Size of a sender's replay window: how many sequence numbers up to its highest are remembered.
pub const WINDOW: u64 = 4096;

/// Maximum number of remembered senders. The least recently heard one is evicted first.
pub const SENDERS_MAX: usize = 2048;

const WORD_BITS: u64 = 64;
const WORDS: usize = (WINDOW / WORD_BITS) as usize;

type Sender = (VmName, Incarnation);

/// Sequence numbers received from each incarnation of each VM.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: FxHashMap<Sender, Window>,
    /// Number of messages received so far, the clock of [`Window::last_used`].
    received: u64,
}

impl ReplayGuard {
    /// Records a message. Returns whether its sequence number is inside the sender's window and was
    /// not received before.
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

/// Replay window of a sender: its highest sequence number, and which of the [`WINDOW`] numbers up
/// to it were received.
#[derive(Debug)]
struct Window {
    highest: u64,
    /// A bit per sequence number modulo [`WINDOW`]: whether the number was received.
    seen: [u64; WORDS],
    /// Value of [`ReplayGuard::received`] at the sender's last message.
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

    /// Moves the window up to `sequence` and clears the bits of the numbers that enter it.
    fn advance(&mut self, sequence: u64) {
        let steps = (sequence - self.highest).min(WINDOW);
        for number in sequence - steps + 1..=sequence {
            let (word, bit) = bit_position(number);
            self.seen[word] &= !bit;
        }
        self.highest = sequence;
    }
}

/// Returns the word in [`Window::seen`] that holds a sequence number, and the mask of its bit.
fn bit_position(sequence: u64) -> (usize, u64) {
    let at = sequence % WINDOW;
    ((at / WORD_BITS) as usize, 1 << (at % WORD_BITS))
}
