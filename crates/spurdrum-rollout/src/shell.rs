//! Sockets and timers round the conductor and the judge.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use spurdrum_ops::Answers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::conductor::{Action, Command, Event, Outcome, Phase, RolloutController, Timer};
use crate::judge::CanaryAnalysis;
use crate::orders::{Generation, Status, SupervisorRequest, MAX_LINE_BYTES};
use crate::plan::Plan;
use crate::timers::Timers;

/// A keeper has so long to answer.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// Each keeper is asked, and the judge looks, so often.
const EVERY: Duration = Duration::from_secs(1);

/// Says a line to an address, and hears one.
///
/// # Errors
///
/// Nobody answers in time.
pub async fn call(address: SocketAddr, line: &str) -> io::Result<String> {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(line.as_bytes()).await?;
        stream.write_all(b"\n").await?;
        let mut answer = String::new();
        stream.take(MAX_LINE_BYTES as u64).read_to_string(&mut answer).await?;
        Ok(answer.lines().next().unwrap_or_default().to_owned())
    };
    timeout(ANSWER_MOST, asked).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Tells a keeper something; none where it does not answer, or nothing that can be understood.
pub async fn send_request(keeper: SocketAddr, order: &SupervisorRequest) -> Option<Status> {
    let line = serde_json::to_string(order).ok()?;
    let answer = call(keeper, &line).await.ok()?;
    serde_json::from_str(&answer).ok()
}

/// What people and machines see as it goes.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// Seconds since the conductor began.
    pub at_s: f64,
    /// What happened.
    pub note: String,
    /// Where the rollout is.
    pub phase: String,
    /// Nodes that run the change.
    pub changed: usize,
    /// Nodes.
    pub nodes: usize,
    /// Nodes that count as unavailable.
    #[serde(rename = "out")]
    pub unavailable: usize,
}

/// How it shows [`Progress`].
pub type ProgressCallback = Rc<dyn Fn(&Progress)>;

struct Running {
    plan: Plan,
    conductor: RefCell<RolloutController>,
    judge: RefCell<CanaryAnalysis>,
    started: Instant,
    timers: Rc<Timers<Timer>>,
    outcome: RefCell<Option<Outcome>>,
    over: Notify,
    show: ProgressCallback,
}

/// Carries a plan out, as the conductor of this number: it is drawn. `back`: takes the change back at once. Returns when it is
/// over.
///
/// # Errors
///
/// The files of the change are not what the plan says, or the conductor's address is in use.
pub async fn run_rollout(
    plan: Plan,
    number: u64,
    back: bool,
    show: ProgressCallback,
) -> Result<Outcome, String> {
    let settings = plan.controller_settings()?;
    let listener = TcpListener::bind(plan.listen).await;
    let listener = listener.map_err(|error| {
        format!("`rollout.listen`: {}: {error}: does another conductor of this plan run?", plan.listen)
    })?;
    let generation = generation(&plan, number).await;
    let judge = CanaryAnalysis::new(plan.judge.clone(), &settings.zones);
    let running = Rc::new(Running {
        plan,
        conductor: RefCell::new(RolloutController::new(settings, generation)),
        judge: RefCell::new(judge),
        started: Instant::now(),
        timers: Rc::default(),
        outcome: RefCell::default(),
        over: Notify::new(),
        show,
    });
    let desk = spurdrum_ops::serve(listener, People(Rc::clone(&running)), spurdrum_ops::Settings::default());
    let desk = tokio::task::spawn_local(desk);
    running.handle(Event::Start);
    if back {
        running.handle(Event::Command(Command::RollBack));
    }
    let polls: Vec<_> = (0..running.plan.nodes.len())
        .map(|node| tokio::task::spawn_local(Rc::clone(&running).poll(node)))
        .collect();
    let looks = tokio::task::spawn_local(Rc::clone(&running).look());
    running.over.notified().await;
    polls.into_iter().chain([looks]).for_each(|task| task.abort());
    // Who has just asked how it is hears that it is over.
    sleep(Duration::from_millis(20)).await;
    desk.abort();
    let outcome = running.outcome.borrow_mut().take();
    outcome.ok_or_else(|| "the rollout ended without an outcome".into())
}

/// Above all that keepers have heard of.
async fn generation(plan: &Plan, conductor: u64) -> Generation {
    let mut asked = tokio::task::JoinSet::new();
    for node in &plan.nodes {
        let keeper = node.supervisor;
        asked.spawn_local(async move { send_request(keeper, &SupervisorRequest::GetStatus).await });
    }
    let mut highest = 0;
    while let Some(answer) = asked.join_next().await {
        let told = answer.ok().flatten().and_then(|status| status.generation);
        highest = highest.max(told.map_or(0, |told| told.number));
    }
    Generation { number: highest + 1, controller: conductor }
}

impl Running {
    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.conductor.borrow_mut().handle(event, &mut actions);
        for action in actions {
            match action {
                Action::Send(node, order) => {
                    let running = Rc::clone(self);
                    tokio::task::spawn_local(async move {
                        let said = send_request(running.plan.nodes[node].supervisor, &order).await;
                        running.said(node, said, false);
                    });
                }
                Action::SetTimer(timer) => self.set(timer),
                Action::CancelTimer(timer) => self.timers.cancel(timer),
                Action::VersionChanged { node, changed: new } => {
                    let now = self.started.elapsed().as_secs_f64();
                    self.judge.borrow_mut().version_changed(node, new, now);
                    let what = if new { "runs the change" } else { "runs the old version again" };
                    self.note(format!("{} {what}", self.plan.nodes[node].name));
                }
                Action::Note(text) => self.note(text),
                Action::End(outcome) => {
                    self.outcome.replace(Some(outcome));
                    self.over.notify_one();
                }
            }
        }
    }

    fn said(self: &Rc<Self>, node: usize, said: Option<Status>, asked: bool) {
        if self.outcome.borrow().is_some() {
            return;
        }
        // Guards against a plan that names another node's keeper.
        match said.filter(|status| status.name == self.plan.nodes[node].name) {
            Some(status) => {
                if let Some(statistics) = &status.statistics {
                    let now = self.started.elapsed().as_secs_f64();
                    self.judge.borrow_mut().record_statistics(node, statistics, status.crashes, now);
                }
                self.handle(Event::StatusReceived { node, status: Box::new(status), polled: asked });
            }
            None => self.handle(Event::Unreachable(node)),
        }
    }

    async fn poll(self: Rc<Self>, node: usize) {
        // Not all in one instant.
        sleep(EVERY.mul_f64(node as f64 / self.plan.nodes.len() as f64)).await;
        loop {
            let said = send_request(self.plan.nodes[node].supervisor, &SupervisorRequest::GetStatus).await;
            self.said(node, said, true);
            sleep(EVERY).await;
        }
    }

    async fn look(self: Rc<Self>) {
        let mut watched = None;
        loop {
            sleep(EVERY).await;
            let phase = self.conductor.borrow().phase().clone();
            if let Phase::Watching(stage) = phase {
                if watched.replace(stage) != Some(stage) {
                    self.judge.borrow_mut().stage_started();
                }
            }
            let verdict = self.judge.borrow_mut().evaluate();
            self.handle(Event::Verdict(verdict));
        }
    }

    fn set(self: &Rc<Self>, timer: Timer) {
        let running = Rc::clone(self);
        let over = move || running.handle(Event::Timer(timer));
        self.timers.set(timer, self.plan.timer_duration(timer), over);
    }

    fn progress(&self, note: String) -> Progress {
        let conductor = self.conductor.borrow();
        let phase = match conductor.phase() {
            Phase::Claiming => "claiming keepers".to_owned(),
            Phase::Baseline => "watching before".to_owned(),
            Phase::Changing(stage) => format!("changing stage {}", stage + 1),
            Phase::Watching(stage) => format!("watching stage {}", stage + 1),
            Phase::MarkingGood => "keeping".to_owned(),
            Phase::RollingBack(_) => "going back".to_owned(),
            Phase::Ended => "over".to_owned(),
        };
        let paused = if conductor.is_paused() { ", paused" } else { "" };
        Progress {
            at_s: (self.started.elapsed().as_secs_f64() * 10.0).round() / 10.0,
            note,
            phase: phase + paused,
            changed: conductor.changed_count(),
            nodes: self.plan.nodes.len(),
            unavailable: conductor.unavailable().len(),
        }
    }

    fn note(&self, text: String) {
        (self.show)(&self.progress(text));
    }
}

/// What people may say to a conductor.
struct People(Rc<Running>);

impl Answers for People {
    fn answer(&self, line: &str) -> String {
        let command = match line {
            "status" => None,
            "pause" => Some(Command::Pause),
            "resume" => Some(Command::Resume),
            "stop" => Some(Command::Stop),
            "back" => Some(Command::RollBack),
            _ => return "NO there is no such call: status, pause, resume, stop, back\n".into(),
        };
        let running = &self.0;
        if let Some(command) = command {
            running.handle(Event::Command(command));
            running.note(format!("told to {line}"));
        }
        let judged = format!(
            "{} requests at changed nodes in this stage",
            running.judge.borrow().requests_at_changed_nodes()
        );
        serde_json::to_string(&running.progress(judged)).map_or_else(|_| "NO\n".into(), |text| text + "\n")
    }
}
