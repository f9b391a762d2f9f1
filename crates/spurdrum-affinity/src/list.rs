//! Doubly linked lists through the slots of one slab: each slot has a link for every list that it can stand in.

/// No slot.
pub const NIL: u32 = u32::MAX;

/// A slot's neighbours in one list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    prev: u32,
    next: u32,
}

impl Default for Link {
    fn default() -> Self {
        Self { prev: NIL, next: NIL }
    }
}

/// A list's ends and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct List {
    /// The slot put in last.
    pub first: u32,
    /// The slot that has stood in it longest.
    pub last: u32,
    /// Slots in it.
    pub len: usize,
}

impl Default for List {
    fn default() -> Self {
        Self { first: NIL, last: NIL, len: 0 }
    }
}

/// Slots that can be linked; `L` tells the lists of one slot apart.
pub trait Linked<L: Copy> {
    /// A slot's link of a list.
    fn link(&mut self, at: u32, list: L) -> &mut Link;
}

impl List {
    /// Puts a slot that stands in no list of this kind before all others.
    pub fn push<L: Copy, S: Linked<L> + ?Sized>(&mut self, slots: &mut S, kind: L, at: u32) {
        *slots.link(at, kind) = Link { prev: NIL, next: self.first };
        match self.first {
            NIL => self.last = at,
            first => slots.link(first, kind).prev = at,
        }
        self.first = at;
        self.len += 1;
    }

    /// Takes a slot out.
    pub fn remove<L: Copy, S: Linked<L> + ?Sized>(&mut self, slots: &mut S, kind: L, at: u32) {
        let Link { prev, next } = std::mem::take(slots.link(at, kind));
        match prev {
            NIL => self.first = next,
            prev => slots.link(prev, kind).next = next,
        }
        match next {
            NIL => self.last = prev,
            next => slots.link(next, kind).prev = prev,
        }
        self.len -= 1;
    }

    /// Puts a whole list before this one, however long it is.
    pub fn splice<L: Copy, S: Linked<L> + ?Sized>(&mut self, slots: &mut S, kind: L, other: Self) {
        if other.len == 0 {
            return;
        }
        match self.first {
            NIL => self.last = other.last,
            first => {
                slots.link(first, kind).prev = other.last;
                slots.link(other.last, kind).next = first;
            }
        }
        self.first = other.first;
        self.len += other.len;
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    impl Linked<()> for Vec<Link> {
        fn link(&mut self, at: u32, (): ()) -> &mut Link {
            &mut self[at as usize]
        }
    }

    fn shown(list: &List, links: &[Link]) -> Vec<u32> {
        let after = |at: &u32| Some(links[*at as usize].next).filter(|next| *next != NIL);
        let forth: Vec<u32> =
            std::iter::successors(Some(list.first).filter(|at| *at != NIL), after).collect();
        let before = |at: &u32| Some(links[*at as usize].prev).filter(|prev| *prev != NIL);
        let mut back: Vec<u32> =
            std::iter::successors(Some(list.last).filter(|at| *at != NIL), before).collect();
        back.reverse();
        assert_eq!((&forth, forth.len()), (&back, list.len));
        forth
    }

    #[test]
    fn lists_are_what_queues_would_be() {
        let mut random = fastrand::Rng::with_seed(5);
        let mut links = vec![Link::default(); 40];
        let (mut lists, mut queues) = ([List::default(); 2], [VecDeque::new(), VecDeque::new()]);
        for _ in 0..4_000 {
            let (at, which) = (random.u32(0..40), random.usize(0..2));
            match queues.iter().position(|queue| queue.contains(&at)) {
                Some(which) => {
                    lists[which].remove(&mut links, (), at);
                    queues[which].retain(|other| *other != at);
                }
                None => {
                    lists[which].push(&mut links, (), at);
                    queues[which].push_front(at);
                }
            }
            if random.u8(0..50) == 0 {
                let other = std::mem::take(&mut lists[which]);
                lists[1 - which].splice(&mut links, (), other);
                let moved = std::mem::take(&mut queues[which]);
                moved.into_iter().rev().for_each(|at| queues[1 - which].push_front(at));
            }
            for (list, queue) in lists.iter().zip(&queues) {
                assert!(shown(list, &links).iter().eq(queue));
            }
        }
    }
}
