use super::*;

const MS: Duration = Duration::from_millis(1);
const PIECE: u64 = 16 * 1024;

/// A clock, and the time that it is told.
struct World {
    clock: ArrivalClock,
    started: Instant,
    now: Instant,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self { clock: ArrivalClock::default(), started: now, now }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    fn read(&mut self, bytes: u64) {
        self.clock.received(self.now, bytes, Duration::ZERO, 0);
    }

    fn find_empty(&mut self) {
        self.clock.found_empty(self.now, true);
    }

    /// Returns how long ago the client can have sent the last byte of a request that is not complete.
    fn lag(&self, missing: u64) -> Duration {
        self.now - self.clock.earliest_end_of_rest(self.now, missing, 0)
    }
}

/// Guards against a client's time that does not run while the node does not read.
#[test]
fn time_in_which_the_socket_is_not_read_counts() {
    let mut world = World::new();
    world.read(PIECE);
    world.wait(700 * MS);
    assert_eq!(world.lag(1), 700 * MS);
    world.read(PIECE);
    assert_eq!(world.now - world.clock.earliest_end(world.now), 700 * MS);
}

#[test]
fn a_client_that_is_waited_for_has_not_sent_its_last_byte() {
    let mut world = World::new();
    for _ in 0..100 {
        world.read(PIECE);
        world.find_empty();
        world.wait(10 * MS);
        assert_eq!(world.lag(1), Duration::ZERO);
    }
    world.read(PIECE);
    assert_eq!(world.clock.earliest_end(world.now), world.now);
}

/// A client's system needs a moment to send on when there is room again: an empty socket right after a long
/// time without a read tells nothing.
#[test]
fn a_socket_that_is_empty_for_a_moment_after_the_node_held_back_does_not_clear_the_client() {
    let mut world = World::new();
    world.read(PIECE);
    for _ in 0..20 {
        world.wait(200 * MS);
        world.read(4 * PIECE);
        world.find_empty();
        world.wait(MS / 10);
        world.read(PIECE);
    }
    assert!(world.lag(1) >= 4_000 * MS, "{:?}", world.lag(1));
}

/// Small pieces in quick succession: each gap is short, all of them together show that the node is not behind.
#[test]
fn a_client_that_sends_small_pieces_at_a_rate_is_not_ahead_of_the_node() {
    let mut world = World::new();
    for _ in 0..3_000 {
        world.read(1_000);
        world.find_empty();
        world.wait(MS);
    }
    assert!(world.lag(1) <= MIN_EMPTY_TIME, "{:?}", world.lag(1));
}

#[test]
fn a_client_cannot_be_further_ahead_than_all_buffers_hold() {
    let mut world = World::new();
    // A node that never finds the socket empty reads 16 MB a second.
    for _ in 0..2_000 {
        world.read(PIECE);
        world.wait(MS);
    }
    let all_buffers = Duration::from_secs_f64(MAX_SEND_BUFFER_BYTES as f64 / (PIECE as f64 * 1_000.0));
    let marks = Duration::from_secs_f64(MARK_INTERVAL_BYTES as f64 / (PIECE as f64 * 1_000.0));
    let lag = world.lag(1);
    assert!(lag >= all_buffers && lag <= all_buffers + marks + 2 * MS, "{lag:?}");
    // More is missing than the buffers hold.
    assert_eq!(world.lag(MAX_SEND_BUFFER_BYTES + 1), Duration::ZERO);
    assert!(world.clock.marks.len() <= MAX_MARKS);
}

#[test]
fn the_time_between_two_requests_does_not_count() {
    let mut world = World::new();
    for _ in 0..100 {
        world.read(200);
        assert_eq!(world.clock.earliest_end(world.now), world.now);
        world.clock.found_empty(world.now, false);
        world.wait(MS);
    }
}

/// Requests that were sent together wait for each other, and their clients' time runs meanwhile.
#[test]
fn a_request_behind_another_counts_from_when_it_came() {
    let mut world = World::new();
    world.read(400);
    world.find_empty();
    world.wait(300 * MS);
    assert_eq!(world.clock.earliest_end(world.now), world.started);
}

#[test]
fn bytes_that_lay_in_the_socket_count_from_when_they_came() {
    let mut world = World::new();
    world.clock.found_empty(world.now, false);
    world.wait(500 * MS);
    world.clock.received(world.now, 200, 450 * MS, 0);
    assert_eq!(world.now - world.clock.earliest_end(world.now), 450 * MS);
}
