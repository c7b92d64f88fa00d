//! The stand-in for an upstream.

use std::{cell::RefCell, rc::Rc, time::Duration};

use masticlock_soak::{
    layout::{BOOKINGS, Layout},
    ledger::Ledger,
    upstream::Upstream,
};
use tokio::{
    runtime,
    task::{LocalSet, spawn_local, yield_now},
};

/// Guards against a stand-in that takes requests again because it crashes after it has left: seed
/// 101 of the plans before this test found `leaving` broken by that.
#[test]
fn upstream_that_has_left_is_not_brought_back_by_a_crash() {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test = async {
        let ledger: Rc<RefCell<Ledger>> = Rc::default();
        let layout = Layout::new(254, 1, 3);
        let upstream = Upstream::start(0, BOOKINGS, layout, &ledger).await.unwrap();
        let leaving = upstream.clone();
        spawn_local(async move { leaving.leave(Duration::from_mins(1)).await });
        yield_now().await;
        upstream.crash(Duration::ZERO).await;
        assert!(ledger.borrow().cold.is_empty(), "it has not started again");
    };
    LocalSet::new().block_on(&runtime, test);
}
