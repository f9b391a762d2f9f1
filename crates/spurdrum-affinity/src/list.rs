//! Intrusive doubly linked lists over the elements of one slab. Each element has one link for every list that
//! it can be in.

/// The index that stands for "no element".
pub const NIL: u32 = u32::MAX;

/// The neighbours of an element in one list.
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

/// The ends and the length of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct List {
    /// The element that was pushed last.
    pub first: u32,
    /// The element that has been in the list longest.
    pub last: u32,
    /// Number of elements in the list.
    pub len: usize,
}

impl Default for List {
    fn default() -> Self {
        Self { first: NIL, last: NIL, len: 0 }
    }
}

/// A slab whose elements can be linked; `L` selects one of the links of an element.
pub trait Linked<L: Copy> {
    /// Returns the link of an element for one kind of list.
    fn link(&mut self, index: u32, list: L) -> &mut Link;
}

impl List {
    /// Inserts an element at the front. The element must not be in any list of this kind.
    pub fn push<L: Copy, S: Linked<L> + ?Sized>(&mut self, slab: &mut S, kind: L, index: u32) {
        *slab.link(index, kind) = Link { prev: NIL, next: self.first };
        match self.first {
            NIL => self.last = index,
            first => slab.link(first, kind).prev = index,
        }
        self.first = index;
        self.len += 1;
    }

    /// Removes an element, which must be in this list.
    pub fn remove<L: Copy, S: Linked<L> + ?Sized>(&mut self, slab: &mut S, kind: L, index: u32) {
        let Link { prev, next } = std::mem::take(slab.link(index, kind));
        match prev {
            NIL => self.first = next,
            prev => slab.link(prev, kind).next = next,
        }
        match next {
            NIL => self.last = prev,
            next => slab.link(next, kind).prev = prev,
        }
        self.len -= 1;
    }

    /// Inserts all elements of another list at the front, in constant time whatever its length.
    pub fn splice<L: Copy, S: Linked<L> + ?Sized>(&mut self, slab: &mut S, kind: L, other: Self) {
        if other.len == 0 {
            return;
        }
        match self.first {
            NIL => self.last = other.last,
            first => {
                slab.link(first, kind).prev = other.last;
                slab.link(other.last, kind).next = first;
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
        fn link(&mut self, index: u32, (): ()) -> &mut Link {
            &mut self[index as usize]
        }
    }

    /// Returns the elements of a list in order, after a check that walking it forwards and backwards gives
    /// the same.
    fn elements(list: &List, links: &[Link]) -> Vec<u32> {
        let after = |index: &u32| Some(links[*index as usize].next).filter(|next| *next != NIL);
        let forward: Vec<u32> =
            std::iter::successors(Some(list.first).filter(|index| *index != NIL), after).collect();
        let before = |index: &u32| Some(links[*index as usize].prev).filter(|prev| *prev != NIL);
        let mut backward: Vec<u32> =
            std::iter::successors(Some(list.last).filter(|index| *index != NIL), before).collect();
        backward.reverse();
        assert_eq!((&forward, forward.len()), (&backward, list.len));
        forward
    }

    #[test]
    fn lists_behave_like_queues() {
        let mut random = fastrand::Rng::with_seed(5);
        let mut links = vec![Link::default(); 40];
        let (mut lists, mut queues) = ([List::default(); 2], [VecDeque::new(), VecDeque::new()]);
        for _ in 0..4_000 {
            let (index, which) = (random.u32(0..40), random.usize(0..2));
            match queues.iter().position(|queue| queue.contains(&index)) {
                Some(which) => {
                    lists[which].remove(&mut links, (), index);
                    queues[which].retain(|other| *other != index);
                }
                None => {
                    lists[which].push(&mut links, (), index);
                    queues[which].push_front(index);
                }
            }
            if random.u8(0..50) == 0 {
                let other = std::mem::take(&mut lists[which]);
                lists[1 - which].splice(&mut links, (), other);
                let moved = std::mem::take(&mut queues[which]);
                moved.into_iter().rev().for_each(|index| queues[1 - which].push_front(index));
            }
            for (list, queue) in lists.iter().zip(&queues) {
                assert!(elements(list, &links).iter().eq(queue));
            }
        }
    }
}
