//! Sockets and timers round the rollout controller and the canary analysis.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use spurdrum_ops::CallHandler;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::conductor::{Action, Command, Event, Outcome, Phase, RolloutController, Timer};
use crate::judge::CanaryAnalysis;
use crate::orders::{Generation, Status, SupervisorRequest, MAX_LINE_BYTES};
use crate::plan::Plan;
use crate::timers::Timers;

/// Timeout for a call to a supervisor.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which each supervisor is polled and the canary analysis is evaluated.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Sends a line to an address and returns the first line of the answer.
///
/// # Errors
///
/// The connection fails, or there is no answer within the timeout.
pub async fn call(address: SocketAddr, line: &str) -> io::Result<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(line.as_bytes()).await?;
        stream.write_all(b"\n").await?;
        let mut answer = String::new();
        stream.take(MAX_LINE_BYTES as u64).read_to_string(&mut answer).await?;
        Ok(answer.lines().next().unwrap_or_default().to_owned())
    };
    timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Sends a request to a supervisor and returns its answer; none if it does not answer or the answer cannot be parsed.
pub async fn send_request(supervisor: SocketAddr, request: &SupervisorRequest) -> Option<Status> {
    let line = serde_json::to_string(request).ok()?;
    let answer = call(supervisor, &line).await.ok()?;
    serde_json::from_str(&answer).ok()
}

/// A progress message, as it is shown to operators and written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// Seconds since the controller started.
    pub at_s: f64,
    /// What happened.
    pub note: String,
    /// The phase of the rollout.
    pub phase: String,
    /// Number of nodes that run the change.
    pub changed: usize,
    /// Number of nodes in the plan.
    pub nodes: usize,
    /// Number of nodes that count as unavailable.
    #[serde(rename = "out")]
    pub unavailable: usize,
}

/// Called with each [`Progress`].
pub type ProgressCallback = Rc<dyn Fn(&Progress)>;

struct RolloutShell {
    plan: Plan,
    controller: RefCell<RolloutController>,
    analysis: RefCell<CanaryAnalysis>,
    started: Instant,
    timers: Rc<Timers<Timer>>,
    outcome: RefCell<Option<Outcome>>,
    ended: Notify,
    on_progress: ProgressCallback,
}

/// Executes a plan as the controller with this random identifier, and returns when the rollout has ended. With
/// `back`, the change is rolled back from the start.
///
/// # Errors
///
/// The files of the change do not have the hashes that the plan states, or the controller's address is in use.
pub async fn run_rollout(
    plan: Plan,
    controller_id: u64,
    back: bool,
    on_progress: ProgressCallback,
) -> Result<Outcome, String> {
    let settings = plan.controller_settings()?;
    let listener = TcpListener::bind(plan.listen).await;
    let listener = listener.map_err(|error| {
        format!("`rollout.listen`: {}: {error}: is another controller of this plan running?", plan.listen)
    })?;
    let generation = next_generation(&plan, controller_id).await;
    let analysis = CanaryAnalysis::new(plan.judge.clone(), &settings.zones);
    let shell = Rc::new(RolloutShell {
        plan,
        controller: RefCell::new(RolloutController::new(settings, generation)),
        analysis: RefCell::new(analysis),
        started: Instant::now(),
        timers: Rc::default(),
        outcome: RefCell::default(),
        ended: Notify::new(),
        on_progress,
    });
    let admin =
        spurdrum_ops::serve(listener, OperatorCalls(Rc::clone(&shell)), spurdrum_ops::Settings::default());
    let admin = tokio::task::spawn_local(admin);
    shell.handle(Event::Start);
    if back {
        shell.handle(Event::Command(Command::RollBack));
    }
    let polls: Vec<_> = (0..shell.plan.nodes.len())
        .map(|node| tokio::task::spawn_local(Rc::clone(&shell).poll(node)))
        .collect();
    let evaluation = tokio::task::spawn_local(Rc::clone(&shell).evaluate());
    shell.ended.notified().await;
    polls.into_iter().chain([evaluation]).for_each(|task| task.abort());
    // Leaves time to answer an operator whose status call has just arrived.
    sleep(Duration::from_millis(20)).await;
    admin.abort();
    let outcome = shell.outcome.borrow_mut().take();
    outcome.ok_or_else(|| "the rollout ended without an outcome".into())
}

/// Returns a generation with a number higher than any that the supervisors have seen.
async fn next_generation(plan: &Plan, controller: u64) -> Generation {
    let mut requests = tokio::task::JoinSet::new();
    for node in &plan.nodes {
        let supervisor = node.supervisor;
        requests.spawn_local(async move { send_request(supervisor, &SupervisorRequest::GetStatus).await });
    }
    let mut highest = 0;
    while let Some(answer) = requests.join_next().await {
        let reported = answer.ok().flatten().and_then(|status| status.generation);
        highest = highest.max(reported.map_or(0, |reported| reported.number));
    }
    Generation { number: highest + 1, controller }
}

impl RolloutShell {
    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.controller.borrow_mut().handle(event, &mut actions);
        for action in actions {
            match action {
                Action::Send(node, request) => {
                    let shell = Rc::clone(self);
                    tokio::task::spawn_local(async move {
                        let answer = send_request(shell.plan.nodes[node].supervisor, &request).await;
                        shell.on_answer(node, answer, false);
                    });
                }
                Action::SetTimer(timer) => self.set_timer(timer),
                Action::CancelTimer(timer) => self.timers.cancel(timer),
                Action::VersionChanged { node, changed } => {
                    let now = self.started.elapsed().as_secs_f64();
                    self.analysis.borrow_mut().version_changed(node, changed, now);
                    let what = if changed { "runs the change" } else { "runs the old version again" };
                    self.note(format!("{} {what}", self.plan.nodes[node].name));
                }
                Action::Note(text) => self.note(text),
                Action::End(outcome) => {
                    self.outcome.replace(Some(outcome));
                    self.ended.notify_one();
                }
            }
        }
    }

    fn on_answer(self: &Rc<Self>, node: usize, answer: Option<Status>, polled: bool) {
        if self.outcome.borrow().is_some() {
            return;
        }
        // If the plan states the address of another node's supervisor, its answer must not be taken for this node's.
        match answer.filter(|status| status.name == self.plan.nodes[node].name) {
            Some(status) => {
                if let Some(statistics) = &status.statistics {
                    let now = self.started.elapsed().as_secs_f64();
                    self.analysis.borrow_mut().record_statistics(node, statistics, status.crashes, now);
                }
                self.handle(Event::StatusReceived { node, status: Box::new(status), polled });
            }
            None => self.handle(Event::Unreachable(node)),
        }
    }

    async fn poll(self: Rc<Self>, node: usize) {
        // Spreads the polls of all nodes evenly over the interval.
        sleep(POLL_INTERVAL.mul_f64(node as f64 / self.plan.nodes.len() as f64)).await;
        loop {
            let answer = send_request(self.plan.nodes[node].supervisor, &SupervisorRequest::GetStatus).await;
            self.on_answer(node, answer, true);
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn evaluate(self: Rc<Self>) {
        let mut watched = None;
        loop {
            sleep(POLL_INTERVAL).await;
            let phase = self.controller.borrow().phase().clone();
            if let Phase::Watching(stage) = phase {
                if watched.replace(stage) != Some(stage) {
                    self.analysis.borrow_mut().stage_started();
                }
            }
            let verdict = self.analysis.borrow_mut().evaluate();
            self.handle(Event::Verdict(verdict));
        }
    }

    fn set_timer(self: &Rc<Self>, timer: Timer) {
        let shell = Rc::clone(self);
        let expired = move || shell.handle(Event::Timer(timer));
        self.timers.set(timer, self.plan.timer_duration(timer), expired);
    }

    fn progress(&self, note: String) -> Progress {
        let controller = self.controller.borrow();
        let phase = match controller.phase() {
            Phase::Claiming => "claiming keepers".to_owned(),
            Phase::Baseline => "watching before".to_owned(),
            Phase::Changing(stage) => format!("changing stage {}", stage + 1),
            Phase::Watching(stage) => format!("watching stage {}", stage + 1),
            Phase::MarkingGood => "keeping".to_owned(),
            Phase::RollingBack(_) => "going back".to_owned(),
            Phase::Ended => "over".to_owned(),
        };
        let paused = if controller.is_paused() { ", paused" } else { "" };
        Progress {
            at_s: (self.started.elapsed().as_secs_f64() * 10.0).round() / 10.0,
            note,
            phase: phase + paused,
            changed: controller.changed_count(),
            nodes: self.plan.nodes.len(),
            unavailable: controller.unavailable().len(),
        }
    }

    fn note(&self, text: String) {
        (self.on_progress)(&self.progress(text));
    }
}

/// Answers the calls of operators to a running controller.
struct OperatorCalls(Rc<RolloutShell>);

impl CallHandler for OperatorCalls {
    fn answer(&self, line: &str) -> String {
        let command = match line {
            "status" => None,
            "pause" => Some(Command::Pause),
            "resume" => Some(Command::Resume),
            "stop" => Some(Command::Stop),
            "back" => Some(Command::RollBack),
            _ => return "NO there is no such call: status, pause, resume, stop, back\n".into(),
        };
        let shell = &self.0;
        if let Some(command) = command {
            shell.handle(Event::Command(command));
            shell.note(format!("operator command: {line}"));
        }
        let requests = format!(
            "{} requests at changed nodes in this stage",
            shell.analysis.borrow().requests_at_changed_nodes()
        );
        serde_json::to_string(&shell.progress(requests)).map_or_else(|_| "NO\n".into(), |text| text + "\n")
    }
}
