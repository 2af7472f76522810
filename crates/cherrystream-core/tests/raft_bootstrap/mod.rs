//! Founding and joining as processes do it: seeds start in any order and pace, others stand by, and
//! questions for a place are late, doubled, lost and passed on. `RAFT_SEEDS=N` runs N schedules.

use super::raft_cluster::{World, address, failure_domain};
use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use cherrystream_core::raft::asking::{self, Asking, PlaceView};
use cherrystream_core::raft::{Admission, Newcomer, Raft};
use cherrystream_core::units::Timestamp;

/// Steps of one schedule.
const STEPS: usize = 700;
/// Places, and the seeds that found the group.
const PLACES: usize = 5;
const FOUNDERS: usize = 3;
/// Calm rounds of 50 ms in which a group must be founded and its places be filled.
const ROUNDS_AT_MOST: usize = 800;
/// Replicas that pass a question on at most.
const PASSED_ON_AT_MOST: u8 = 3;

/// A question for a place, on its way.
#[derive(Clone)]
struct Question {
    from: usize,
    to: usize,
    /// Process that asks; an answer to an earlier one is not taken.
    process: u64,
    disk: String,
    runs_as: Option<u64>,
    passed_on: u8,
}

#[derive(Clone, Copy)]
struct Answer {
    to: usize,
    process: u64,
    admission: Admission,
}

struct Hosts {
    world: World,
    /// What each process does about its place, with the number of the process.
    asking: Vec<(Asking, u64)>,
    questions: Vec<Question>,
    answers: Vec<Answer>,
    processes: u64,
    /// Questions so far.
    turn: usize,
}

impl Hosts {
    fn new(hosts: usize) -> Hosts {
        let world = World::of_hosts(PLACES, FOUNDERS, hosts);
        let asking = (0..hosts).map(|_| (Asking::new(Timestamp::default()), 0)).collect();
        let (questions, answers) = (Vec::new(), Vec::new());
        Hosts { world, asking, questions, answers, processes: 0, turn: 0 }
    }

    fn start(&mut self, i: usize) {
        self.processes += 1;
        self.asking[i] = (Asking::new(self.world.now), self.processes);
        self.world.start(i);
    }

    fn view(&self, i: usize) -> Option<PlaceView> {
        let raft = self.world.replicas[i].raft.as_ref()?;
        let (leads, votes) = (raft.is_leader(), raft.is_voter());
        Some(PlaceView { leads, votes, word: raft.quorum_word(self.world.now) })
    }

    /// Lets a process look at its clock.
    fn tick(&mut self, i: usize, to: usize) {
        let now = self.world.now;
        if let Some(raft) = &mut self.world.replicas[i].raft {
            raft.tick(now);
        }
        self.world.work_off(i, None);
        let view = self.view(i);
        let placeless = self.world.replicas[i].placeless;
        let due = view.is_some_and(|view| self.asking[i].0.is_due(now, view));
        if due || placeless {
            let runs_as = (!placeless).then_some(self.world.replicas[i].number);
            let disk = self.world.replicas[i].disk.id.clone();
            let process = self.asking[i].1;
            self.turn += 1;
            self.questions.push(Question { from: i, to, process, disk, runs_as, passed_on: 0 });
        }
    }

    /// A question reaches a process, which answers it if it leads, and else passes it on.
    fn ask(&mut self, question: Question) {
        let now = self.world.now;
        let leader = {
            let Some(raft) = &mut self.world.replicas[question.to].raft else { return };
            let address = address(question.from);
            if raft.is_leader() {
                let newcomer = Newcomer {
                    address: &address,
                    disk: &question.disk,
                    failure_domain: &failure_domain(question.from),
                    stands_by: true,
                    runs_as: question.runs_as,
                };
                let admission = raft.admit(now, newcomer);
                let Question { from: to, process, .. } = question;
                self.answers.push(Answer { to, process, admission });
                return;
            }
            raft.leader()
        };
        let runs_as = |number: u64| self.world.replicas.iter().position(|r| r.number == number);
        let Some(to) = leader.and_then(runs_as) else { return };
        if question.passed_on < PASSED_ON_AT_MOST {
            self.questions.push(Question { to, passed_on: question.passed_on + 1, ..question });
        }
    }

    fn take(&mut self, answer: Answer) {
        let i = answer.to;
        if self.asking[i].1 != answer.process {
            return;
        }
        let placeless = self.world.replicas[i].placeless;
        match answer.admission {
            Admission::Granted(number) if placeless => {
                self.world.replicas[i].number = number;
                self.world.replicas[i].placeless = false;
                self.start(i);
            }
            Admission::Lost if self.view(i).is_some_and(asking::may_give_up) => self.give_up(i),
            _ => {}
        }
    }

    /// A process sets its log aside, and asks for another place.
    fn give_up(&mut self, i: usize) {
        let replica = &self.world.replicas[i];
        let (number, disk) = (replica.number.to_string(), &replica.disk.id);
        assert!(!replica.raft.as_ref().is_some_and(Raft::is_leader), "a leader gives up its log");
        let rafts = self.world.replicas.iter().filter_map(|r| r.raft.as_ref());
        let newest = rafts.max_by_key(|raft| raft.commit()).and_then(Raft::members);
        let counted = newest.and_then(|members| members.disks.get(&number));
        assert_ne!(counted, Some(disk), "replica {number} gives up a disk that counts");
        self.world.replicas[i].raft = None;
        self.world.replicas[i].placeless = true;
        self.world.replicas[i].disk = self.world.new_disk();
        self.processes += 1;
        self.asking[i].1 = self.processes;
    }

    fn step(&mut self, u: &mut Unstructured) -> ArbResult<()> {
        let i = u.choose_index(self.world.replicas.len())?;
        let lost = u.ratio(1, 16)?;
        let keep = u.ratio(1, 12)?;
        match u.int_in_range(0..=99)? {
            0..=44 if !self.world.bag.is_empty() => {
                let at = u.choose_index(self.world.bag.len())?;
                match lost {
                    true => drop(self.world.bag.swap_remove(at)),
                    false => self.world.deliver(at, keep),
                }
            }
            45..=59 if !self.questions.is_empty() => {
                let at = u.choose_index(self.questions.len())?;
                let question = match keep {
                    true => self.questions[at].clone(),
                    false => self.questions.swap_remove(at),
                };
                if !lost {
                    self.ask(question);
                }
            }
            60..=71 if !self.answers.is_empty() => {
                let at = u.choose_index(self.answers.len())?;
                let answer = if keep { self.answers[at] } else { self.answers.swap_remove(at) };
                self.take(answer);
            }
            72..=75 => {
                // A pause or a kill; the disk stays.
                self.world.replicas[i].raft = None;
            }
            76..=83 if self.world.replicas[i].raft.is_none() => self.start(i),
            84..=86 => {
                self.world.propose(i);
                self.world.work_off(i, None);
            }
            _ => {
                let passed = u.int_in_range(1_000..=400_000)?;
                self.world.now = Timestamp(self.world.now.0 + passed);
                for i in 0..self.world.replicas.len() {
                    // Hosts are not equally quick.
                    if u.ratio(3, 4)? {
                        let to = u.choose_index(self.world.replicas.len())?;
                        self.tick(i, to);
                    }
                }
            }
        }
        self.forget_old();
        self.world.check();
        Ok(())
    }

    /// Old messages get lost sooner or later.
    fn forget_old(&mut self) {
        let keep = |len: usize| len.saturating_sub(100);
        self.world.bag.drain(..keep(self.world.bag.len()));
        self.questions.drain(..keep(self.questions.len()));
        self.answers.drain(..keep(self.answers.len()));
    }

    fn calm_round(&mut self) {
        let hosts = self.world.replicas.len();
        for i in 0..hosts {
            if self.world.replicas[i].raft.is_none() {
                self.start(i);
            }
        }
        self.world.pass_calmly();
        for i in 0..hosts {
            // Another one each time, as a process asks those that it knows in turn.
            self.tick(i, (i + self.turn) % hosts);
        }
        while let Some(question) = self.questions.pop() {
            self.ask(question);
        }
        while let Some(answer) = self.answers.pop() {
            self.take(answer);
        }
    }

    fn settled(&self) -> bool {
        let rafts = self.world.replicas.iter().filter_map(|r| r.raft.as_ref());
        let leaders = rafts.clone().filter(|raft| raft.is_leader()).count();
        let voters = rafts.filter(|raft| raft.is_voter()).count();
        leaders == 1 && voters == PLACES.min(self.world.replicas.len())
    }

    fn settle(&mut self) {
        let settles = (0..ROUNDS_AT_MOST).any(|_| {
            self.calm_round();
            self.settled()
        });
        assert!(settles, "the group is not founded, or its places are not filled");
        let before = self.world.committed.len();
        for _ in 0..80 {
            self.calm_round();
            for i in 0..self.world.replicas.len() {
                self.world.propose(i);
                self.world.work_off(i, None);
            }
        }
        assert!(self.world.committed.len() > before, "the group accepts nothing");
    }
}

#[test]
fn a_group_is_founded_and_joined_whatever_the_order_and_pace() {
    for seed in 0..super::seeds() {
        arbtest::arbtest(|u| {
            let mut hosts = Hosts::new(u.int_in_range(FOUNDERS..=PLACES + 4)?);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                hosts.step(u)?;
            }
            hosts.settle();
            Ok(())
        })
        .seed((u64::from(seed) << 32) | 0x4000)
        .size_min(0x2000)
        .size_max(0x4000)
        .run();
    }
}
