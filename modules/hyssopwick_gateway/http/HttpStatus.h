#pragma once

namespace hyssopwick {

/// HTTP status codes (RFC 7231, RFC 6585, RFC 7540) that are sent or handled.
constexpr unsigned statusOk = 200;
constexpr unsigned statusMultipleChoices = 300;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusHeaderTooLarge = 431;
constexpr unsigned statusServerError = 500;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

}
