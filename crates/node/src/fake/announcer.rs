use std::time::Duration;

use masticlock_core::{directory::Announcement, slot};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

/// Wait before an announcement that failed is repeated at the next instance.
const REPEAT: Duration = Duration::from_millis(200);
/// Time limit of one announcement.
const LIMIT: Duration = Duration::from_secs(2);

/// Announces an upstream at the interval that the answers name.
///
/// It sends to one entry instance and moves to the next one after a failure.
#[derive(Debug)]
pub struct Announcer {
    said: watch::Sender<Announcement>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts to announce `said` at the entry instances with the base URLs `entries`.
    #[must_use]
    pub fn start(said: Announcement, credential: String, entries: Vec<String>) -> Self {
        let said = watch::Sender::new(said);
        let task = tokio::spawn(run(said.subscribe(), credential, entries));
        Self { said, task }
    }

    /// Changes the announcement and sends it at once.
    pub fn set<F>(&self, change: F)
    where
        F: FnOnce(&mut Announcement),
    {
        self.said.send_modify(change);
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(mut said: watch::Receiver<Announcement>, credential: String, entries: Vec<String>) {
    let client = reqwest::Client::new();
    let mut token = None;
    for entry in entries.iter().cycle() {
        loop {
            let mut body = said.borrow_and_update().clone();
            body.token = token.clone();
            let sent = client
                .post(format!("{entry}/upstreams/v1/announce"))
                .bearer_auth(&credential)
                .timeout(LIMIT)
                .json(&body)
                .send()
                .await
                .and_then(reqwest::Response::error_for_status);
            let answer: slot::AnnouncementResponse = match sent {
                Ok(response) => match response.json().await {
                    Ok(answer) => answer,
                    Err(_) => break,
                },
                Err(_) => break,
            };
            token = Some(answer.token);
            tokio::select! {
                () = sleep(answer.interval.to_std()) => {}
                changed = said.changed() => if changed.is_err() { return },
            }
        }
        sleep(REPEAT).await;
    }
}
