//! Support for axum: errors as responses, and an extractor for what a handler inherits.

use axum_core::body::Body as AxumBody;
use axum_core::extract::FromRequestParts;
use axum_core::response::{IntoResponse, Response};
use http::StatusCode;
use http::request::Parts;

use crate::body::Body;
use crate::error::Error;
use crate::inherit::Inherited;

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        Error::into_response(self).map(AxumBody::new)
    }
}

impl IntoResponse for Body {
    fn into_response(self) -> Response {
        Response::new(AxumBody::new(self))
    }
}

/// Needs [`InheritLayer`](crate::InheritLayer) around the route; without it the answer is 500.
impl<S: Sync> FromRequestParts<S> for Inherited {
    type Rejection = (StatusCode, &'static str);

    async fn from_request_parts(
        parts: &mut Parts,
        _state: &S,
    ) -> Result<Inherited, Self::Rejection> {
        let found = parts.extensions.get::<Inherited>().cloned();
        found.ok_or((StatusCode::INTERNAL_SERVER_ERROR, "the route has no InheritLayer"))
    }
}
