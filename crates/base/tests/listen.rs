//! Addresses that cannot be bound.

use std::io;
use std::rc::Rc;

use base::clock::SystemClock;
use base::listen::{BindFailure, Binder};
use base::stop::StopSignal;
use nix::errno::Errno;
use rstest::rstest;

/// Guards against a process that ends for a failure that passes by itself, and against one
/// that waits for an address that it never gets.
#[rstest]
#[case::in_use(Errno::EADDRINUSE, true)]
#[case::no_address(Errno::EADDRNOTAVAIL, true)]
#[case::no_descriptors(Errno::EMFILE, true)]
#[case::no_host_descriptors(Errno::ENFILE, true)]
#[case::no_memory(Errno::ENOMEM, true)]
#[case::no_buffers(Errno::ENOBUFS, true)]
#[case::not_permitted(Errno::EACCES, false)]
#[case::not_privileged(Errno::EPERM, false)]
#[case::bad_address(Errno::EINVAL, false)]
#[case::no_protocol(Errno::EAFNOSUPPORT, false)]
fn bind_failure(#[case] errno: Errno, #[case] transient: bool) {
    let error = io::Error::from_raw_os_error(errno as i32);
    assert_eq!(BindFailure::of(&error).is_transient(), transient);
}

/// Guards against a process that cannot be stopped while it waits for an address.
#[actix_rt::test]
async fn stop_ends_wait() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let addr = held.local_addr().expect("listener has no address");
    let stop = StopSignal::new();
    let binder = Binder::new(Rc::new(SystemClock), stop.clone());
    let waiting = actix_rt::spawn(async move { binder.tcp("listen", addr).await });
    tokio::task::yield_now().await;
    stop.trigger();
    let bound = waiting.await.expect("the wait panicked");
    assert!(bound.expect("the failure is transient").is_none());
}
