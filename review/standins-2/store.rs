//! The platform's object store, in memory: listings, watches and conditional changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::Json,
};

/// How long the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (Json, u64)>,
    /// Changes: revision, kind, object, whether it was deleted.
    history: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object(name: &str, spec: &Json, revision: u64) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"createdRev":1,"finalizers":[],"deletionPending":false}},"spec":{spec},"status":null}}"#
    )
}

impl State {
    fn change(&mut self, kind: &str, name: &str, spec: Option<Json>) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let (text, deleted) = match spec {
            Some(spec) => {
                let text = object(name, &spec, self.revision);
                self.objects.insert(key, (spec, self.revision));
                (text, false)
            }
            None => {
                self.objects.remove(&key);
                (object(name, &Json::Null, self.revision), true)
            }
        };
        self.history.push((self.revision, kind.to_owned(), text.clone(), deleted));
        text
    }
}

impl Store {
    /// Starts the store's listener.
    pub fn serve(&self) -> SocketAddr {
        let store = self.clone();
        http::serve(move |request| {
            thread::sleep(ANSWER);
            let mut response = store.answer(&request);
            response.headers = "Store-Era: 0\r\n".to_owned();
            response
        })
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        self.state.0.lock().unwrap().change(kind, name, Some(spec));
        self.state.1.notify_all();
    }

    /// The spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(spec, _)| spec.clone())
    }

    fn answer(&self, request: &Request) -> Response {
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        let body = || Json::parse(&request.body).unwrap_or(Json::Null);
        match (&*request.method, &*parts) {
            ("GET", ["objects", kind]) => match request.parameter("watch") {
                Some(since) => self.watch(kind, since.parse().unwrap_or(0), request),
                None => self.list(kind),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some((spec, revision)) => Response::new(200, object(name, spec, *revision)),
                    None => Response::new(404, "{}".to_owned()),
                }
            }
            ("POST", ["objects", kind]) => {
                let body = body();
                let name = body.get("meta").get("name").text().unwrap_or("").to_owned();
                self.write(kind, &name, None, true, Some(body.get("spec").clone()))
            }
            ("PUT", ["objects", kind, name]) => {
                let body = body();
                let expected = body.get("meta").get("revision").number();
                self.write(kind, name, expected, false, Some(body.get("spec").clone()))
            }
            ("DELETE", ["objects", kind, name]) => {
                let expected = request.parameter("revision").and_then(|text| text.parse().ok());
                self.write(kind, name, expected, false, None)
            }
            _ => Response::new(400, "{}".to_owned()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        creates: bool,
        spec: Option<Json>,
    ) -> Response {
        let mut state = self.state.0.lock().unwrap();
        let present = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let response = match present {
            None if !creates => return Response::new(404, "{}".to_owned()),
            Some((spec, revision))
                if creates || expected.is_some_and(|expected| expected != revision) =>
            {
                return Response::new(409, object(name, &spec, revision));
            }
            // A change that changes nothing does not raise the revision.
            Some((old, revision)) if spec.as_ref() == Some(&old) => {
                return Response::new(200, object(name, &old, revision));
            }
            _ => Response::new(200, state.change(kind, name, spec)),
        };
        self.state.1.notify_all();
        response
    }

    fn list(&self, kind: &str) -> Response {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> =
            items.map(|((_, name), (spec, revision))| object(name, spec, *revision)).collect();
        let (items, revision) = (items.join(","), state.revision);
        Response::new(200, format!(r#"{{"items":[{items}],"hasMore":false,"atRev":{revision}}}"#))
    }

    fn watch(&self, kind: &str, since: u64, request: &Request) -> Response {
        let wait = request.parameter("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if since > state.revision {
                return Response::new(410, "{}".to_owned());
            }
            let new = state.history.iter().filter(|(at, of, ..)| *at > since && of == kind);
            let events: Vec<String> = new
                .map(|(.., text, deleted)| format!(r#"{{"object":{text},"deleted":{deleted}}}"#))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Response::new(
                    200,
                    format!(r#"{{"events":[{events}],"atRev":{revision}}}"#),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
