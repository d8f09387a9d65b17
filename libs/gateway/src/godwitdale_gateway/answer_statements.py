"""What the answer of an endpoint states about the endpoint."""

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import statement_sharing as statement_sharing_lib
from godwitdale_http import headers as headers_lib


def record_statements(
    dialect: dialect_lib.Dialect,
    sharing: statement_sharing_lib.StatementSharing,
    record: directory_lib.EndpointRecord,
    kind: dialect_lib.AnswerKind,
    status: int,
    headers: headers_lib.Headers,
) -> None:
    """Records what an answer states about its endpoint.

    An answer without a limit ends the limit only if the endpoint has run the
    request; refusals may leave it out.

    Args:
        dialect: Decodes headers.
        sharing: Takes the statements and tells other entries.
        record: The endpoint that the request was sent to.
        kind: Kind of the answer.
        status: HTTP status of the answer.
        headers: Headers of the answer.
    """
    if kind is dialect_lib.AnswerKind.MISDIRECTED:
        return  # The answer is that of another endpoint.
    if dialect.is_leaving(headers):
        sharing.on_leaving(record)
    if kind is dialect_lib.AnswerKind.FOREIGN:
        return
    endpoint_id = record.endpoint.id
    has_run = kind in (
        dialect_lib.AnswerKind.SUCCESS,
        dialect_lib.AnswerKind.FAILURE,
    )
    pause_s = dialect.pause_s(status, headers)
    if pause_s is not None:
        sharing.on_pause(endpoint_id, pause_s)
    elif has_run:
        sharing.on_run(endpoint_id)
    limit = dialect.rate_limit(headers)
    if limit.requests_per_s is not None:
        sharing.on_stated(endpoint_id, limit.requests_per_s)
    elif not limit.is_stated and has_run:
        sharing.on_not_stated(endpoint_id)
