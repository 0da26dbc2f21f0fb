#pragma once

#include "../model/Call.h"
#include "HttpParts.h"

namespace hyssopwick {

/// Decodes callers' requests and upstreams' answers, and encodes what is forwarded.
class CallCodec {
public:
    virtual ~CallCodec() = default;

    /// Decodes the headers of a caller's request. Fields that cannot be read stay empty.
    virtual CallDescription decodeCall(const HeaderFields& fields) const = 0;

    /// Returns the header fields for the upstream: the caller's, less those that concern
    /// one connection or that only this system may set, and those of \p forwarding.
    virtual HeaderFields encodeForwarding(const HeaderFields& callerFields, const CallForwarding& forwarding) const = 0;

    /// Decodes the head of an upstream's answer.
    virtual AnswerDescription decodeAnswer(unsigned status, const HeaderFields& fields) const = 0;

    /// Returns the answer's header fields for the caller, less those of one connection.
    virtual HeaderFields encodeAnswer(const HeaderFields& upstreamFields) const = 0;

    /// Returns the fields of an own refusal that says when to come back.
    virtual HeaderFields encodeRetryAfter(Milliseconds retryAfter) const = 0;
};

}
