/*
 * Error category with the names of the transport errors.
 */
#include "transport/TransportError.h"

#include <string>

namespace magnoliaspan {

namespace {

class TransportErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "transport";
    }

    std::string message(int value) const override
    {
        switch (static_cast<TransportError>(value)) {
        case TransportError::ConnectFailed:
            return "connect_failed";
        case TransportError::ConnectionLost:
            return "connection_lost";
        case TransportError::MalformedReply:
            return "malformed_reply";
        case TransportError::Silent:
            return "silent";
        case TransportError::UnsendableRequest:
            return "unsendable_request";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category &transportCategory()
{
    static const TransportErrorCategory category;
    return category;
}

std::error_code make_error_code(TransportError error) // NOLINT(readability-identifier-naming): name fixed by the standard library
{
    return {static_cast<int>(error), transportCategory()};
}

} // namespace magnoliaspan
