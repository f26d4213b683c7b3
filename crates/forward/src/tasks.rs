//! The background tasks of an entry. One that fails is started again.

use std::rc::Rc;

use base::clock::Clock;
use base::listen::Binder;
use base::stop::StopSignal;
use base::task::supervise;
use spdlog::error;

use crate::duties::{self, Duties};
use crate::gossip::GossipEndpoint;
use crate::platform::Platform;
use crate::state::{self, State};
use crate::{crashes, discovery, follow, moves, neighbours, origin_log, versions};

/// Starts background tasks, which run until `end`.
pub(crate) struct Tasks<P> {
    pub(crate) state: Rc<State>,
    pub(crate) platform: Rc<P>,
    pub(crate) end: StopSignal,
}

impl<P: Platform + 'static> Tasks<P> {
    /// Starts the tasks that read and write the platform's tables.
    pub(crate) fn start_tables(&self) {
        self.start("follow neighbour", |state, _, end| {
            neighbours::follow(state, end)
        });
        self.start("follow catalogs", |state, platform, _| {
            follow::catalogs(state, platform.catalogs())
        });
        self.start("follow servers", |state, platform, _| {
            follow::servers(state, platform.servers())
        });
        self.start("follow crashes", |state, platform, _| {
            follow::crashes(state, platform.crashes())
        });
        self.start("write crashes", |state, platform, end| {
            crashes::write_to_store(state, platform.crashes(), end)
        });
        self.start("follow versions", |state, platform, _| {
            follow::versions(state, platform.versions())
        });
        self.start("read versions", |state, platform, end| {
            versions::read_for_calls(state, platform.versions(), end)
        });
        self.start("write versions", |state, platform, end| {
            versions::write_to_store(state, platform.versions(), end)
        });
        self.start("load origins", |state, platform, end| {
            origin_log::load(state, platform.origins(), end)
        });
        self.start("write origins", |state, platform, end| {
            origin_log::write(state, platform.origins(), end)
        });
    }

    /// Starts the tasks that find the other entries and exchange reports with them.
    pub(crate) fn start_gossip(&self, endpoint: Rc<GossipEndpoint>) {
        actix_rt::spawn(Rc::clone(&endpoint).run(self.end.clone()));
        self.start("discovery", move |state, platform, end| {
            discovery::run(state, Rc::clone(&endpoint), platform.directory(), end)
        });
    }

    /// Starts the tasks that keep the state of servers and streams up to date.
    pub(crate) fn start_upkeep(&self) {
        // A stream that continues from its backup is stopped at its first engine.
        if self.state.settings.moves || self.state.settings.backups {
            self.start("move streams", |state, platform, end| {
                moves::run(state, platform.engine_control(), end)
            });
        }
        self.start("sweep", |state, _, end| state::sweep(state, end));
    }

    /// Starts the configured duties, if there are any, as soon as their port can be bound.
    pub(crate) fn start_duties(&self, clock: Rc<dyn Clock>, binder: &Binder) {
        let Some(duties) = Duties::new(&self.state.settings, clock) else {
            return;
        };
        *self.state.duties.borrow_mut() = Some(Rc::clone(&duties));
        let (own, binder) = (self.clone(), binder.clone());
        actix_rt::spawn(async move {
            match duties.bind(&binder).await {
                Ok(true) => own.perform_duties(&duties),
                Ok(false) => {}
                // Other entries can perform the duties; this one can still serve callers.
                Err(e) => {
                    *own.state.duties.borrow_mut() = None;
                    error!("duty port not bound; duties left to other entries", kv: {
                        step = "bind", cause = e.to_string().as_str()
                    });
                }
            }
        });
    }

    /// Starts the tasks that elect the holder of the duties and perform them.
    fn perform_duties(&self, duties: &Rc<Duties>) {
        let own = Rc::clone(duties);
        self.start("scale servers", move |state, platform, end| {
            let api = platform.duty_api(own.platform_addr());
            duties::scale::run(state, Rc::clone(&own), api, end)
        });
        let own = Rc::clone(duties);
        self.start("receive duty messages", move |_, _, _| {
            duties::messages::receive(Rc::clone(&own))
        });
        let own = Rc::clone(duties);
        self.start("send usage counts", move |_, _, end| {
            duties::messages::send_counts(Rc::clone(&own), end)
        });
        let own = Rc::clone(duties);
        self.start("report usage", move |_, platform, end| {
            let api = platform.duty_api(own.platform_addr());
            duties::report::run(Rc::clone(&own), api, end)
        });
        let own = Rc::clone(duties);
        self.start("elect duty holder", move |state, platform, end| {
            duties::election::run(state, Rc::clone(&own), platform.duty_store(), end)
        });
    }

    fn start<F, Fut>(&self, name: &'static str, run: F)
    where
        F: Fn(Rc<State>, &P, StopSignal) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let own = self.clone();
        supervise(name, self.end.clone(), move || {
            run(Rc::clone(&own.state), &own.platform, own.end.clone())
        });
    }
}

impl<P> Clone for Tasks<P> {
    fn clone(&self) -> Self {
        Self {
            state: Rc::clone(&self.state),
            platform: Rc::clone(&self.platform),
            end: self.end.clone(),
        }
    }
}
