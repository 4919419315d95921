//! A fixed number of slots for values that appear and disappear with the versions of a file. A value keeps
//! its slot while any version uses it, and a slot is reused only when nobody uses its old value.

use std::rc::Rc;

/// Marks a slot as used; dropping all leases of a slot frees it.
#[derive(Clone, Debug)]
pub struct SlotLease(Rc<()>);

/// A fixed number of slots.
#[derive(Debug)]
pub struct Slots<T> {
    slots: Vec<(T, SlotLease)>,
}

/// The slots assigned to the values of a new version.
#[derive(Debug)]
pub struct Placed {
    /// The slot of each value, in the order of the values.
    pub places: Vec<usize>,
    /// Leases, to be kept for as long as the version is in use.
    pub leases: Vec<SlotLease>,
    /// Slots that have received a new value.
    pub changed: Vec<usize>,
}

impl<T: Clone + PartialEq> Slots<T> {
    /// Creates `count` free slots that all contain `filler`.
    pub fn new(count: usize, filler: &T) -> Slots<T> {
        Slots { slots: (0..count).map(|_| (filler.clone(), SlotLease(Rc::new(())))).collect() }
    }

    /// The values by slot.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().map(|(value, _)| value)
    }

    /// The value in a slot.
    pub fn value(&self, slot: usize) -> Option<&T> {
        self.slots.get(slot).map(|(value, _)| value)
    }

    /// Assigns a slot to each value; assigns none if there are too few free slots.
    ///
    /// # Errors
    /// The number of free slots and the number of slots needed.
    pub fn place(&mut self, values: &[T]) -> Result<Placed, (usize, usize)> {
        let mut new_values: Vec<&T> = Vec::new();
        for value in values {
            if !new_values.contains(&value) && !self.values().any(|v| v == value) {
                new_values.push(value);
            }
        }
        let unused =
            |value: &T, lease: &SlotLease| Rc::strong_count(&lease.0) == 1 && !values.contains(value);
        // Several slots may contain the filler: only the first one counts as its slot.
        let mut free: Vec<usize> = Vec::new();
        for (n, (value, lease)) in self.slots.iter().enumerate() {
            let first = self.values().position(|v| v == value) == Some(n);
            if unused(value, lease) || (!first && Rc::strong_count(&lease.0) == 1) {
                free.push(n);
            }
        }
        if free.len() < new_values.len() {
            return Err((free.len(), new_values.len()));
        }
        let new_values: Vec<T> = new_values.into_iter().cloned().collect();
        let changed: Vec<usize> = free.into_iter().take(new_values.len()).collect();
        for (slot, value) in changed.iter().zip(new_values) {
            if let Some(entry) = self.slots.get_mut(*slot) {
                *entry = (value, SlotLease(Rc::new(())));
            }
        }
        let places: Vec<usize> =
            values.iter().filter_map(|value| self.values().position(|v| v == value)).collect();
        let leases = places
            .iter()
            .filter_map(|slot| self.slots.get(*slot))
            .map(|(_, lease)| lease.clone())
            .collect();
        Ok(Placed { places, leases, changed })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_keeps_its_slot_and_a_used_slot_keeps_its_value() {
        let mut slots = Slots::new(3, &0);
        let first = slots.place(&[1, 2, 1]).expect("enough slots");
        assert_eq!((first.places[0], first.places.len(), first.changed.len()), (first.places[2], 3, 2));
        let second = slots.place(&[2, 3]).expect("one more slot");
        assert_eq!((second.places[0], second.changed.len()), (first.places[1], 1));
        assert_eq!(slots.place(&[4]).map(|_| ()), Err((0, 1)), "all three slots are used");
        assert_eq!(slots.value(first.places[0]), Some(&1), "a failed assignment changes nothing");
        drop(first);
        let third = slots.place(&[4]).expect("the slot of 1 is free");
        assert_eq!(slots.value(third.places[0]), Some(&4));
        assert_eq!(slots.value(second.places[0]), Some(&2));
    }

    #[test]
    fn a_value_equal_to_the_filler_gets_a_slot() {
        let mut slots = Slots::new(2, &0);
        let placed = slots.place(&[0, 1]).expect("enough slots");
        assert_eq!((slots.value(placed.places[0]), slots.value(placed.places[1])), (Some(&0), Some(&1)));
    }
}
