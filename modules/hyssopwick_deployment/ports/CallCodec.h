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

    /// Returns the header fields for the upstream: the caller's without hop-by-hop fields
    /// and fields that only this system may set, followed by those of \p forwarding.
    virtual HeaderFields encodeForwarding(const HeaderFields& callerFields, const CallForwarding& forwarding) const = 0;

    /// Decodes the status and header fields of an upstream's answer.
    virtual AnswerDescription decodeAnswer(unsigned status, const HeaderFields& fields) const = 0;

    /// Returns the answer's header fields for the caller, without hop-by-hop fields.
    virtual HeaderFields encodeAnswer(const HeaderFields& upstreamFields) const = 0;

    /// Returns the header fields that tell a refused caller when to retry.
    virtual HeaderFields encodeRetryAfter(Milliseconds retryAfter) const = 0;
};

}
