//! The HTTP server of an upstream: takes a slot for each request, sleeps for the service time and
//! answers. Without a free slot it refuses the request.

use crate::{
    answer::{Answer, parse_attempt_id},
    upstream::{UpstreamSpec, body::AnswerBody, owner::Message},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::sleep,
};

/// The header with the ID of the attempt, which a refusal repeats.
const ATTEMPT: &str = "ow-request";

/// The answer header which states that the upstream did not run the request.
const DID_NOT_RUN: &str = "ow-did-not-run";

pub(super) async fn serve(
    listener: TcpListener,
    spec: UpstreamSpec,
    inbox: mpsc::UnboundedSender<Message>,
) {
    let spec = Arc::new(spec);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&spec), inbox.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    spec: Arc<UpstreamSpec>,
    inbox: mpsc::UnboundedSender<Message>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (spec, inbox) = (Arc::clone(&spec), inbox.clone());
        async move { Ok::<_, Infallible>(answer(request, &spec, inbox).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    spec: &UpstreamSpec,
    inbox: mpsc::UnboundedSender<Message>,
) -> Response<AnswerBody> {
    let Some(attempt) = request.uri().query().and_then(parse_attempt_id) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let named_attempt = request.headers().get(ATTEMPT).cloned();
    if request.into_body().collect().await.is_err() {
        return empty(StatusCode::BAD_REQUEST);
    }
    let (reply, admitted) = oneshot::channel();
    let sent = inbox.send(Message::Begin { attempt, reply });
    let Some(guard) = sent.ok().and(admitted.await.ok().flatten()) else {
        return refusal(named_attempt);
    };
    sleep(spec.service_time).await;
    let bytes = Bytes::from(Answer::encode(attempt, &spec.name, spec.answer_bytes));
    let mut response = Response::new(AnswerBody::new(bytes, guard));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::empty());
    *response.status_mut() = status;
    response
}

fn refusal(named_attempt: Option<HeaderValue>) -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(DID_NOT_RUN, HeaderValue::from_static("true"));
    if let Some(attempt) = named_attempt {
        headers.insert(ATTEMPT, attempt);
    }
    response
}
