/*
 * Part app: brings each submit to the home of its key and runs it there.
 *
 * The home of a key is chosen among the published seats by rendezvous hashing
 * (Thaler and Ravishankar, 1998), so that every entry host names the same home
 * without a message. The home remembers the key; a resend through any entry
 * host meets that memory.
 */
#pragma once

#include "control/KeyLedger.h"
#include "peer/HomeLease.h"
#include "request/CallerMessages.h"
#include "request/RequestServices.h"
#include "request/SingleShardOperation.h"

#include <functional>
#include <map>
#include <memory>

namespace magnoliaspan {

/// \brief Routes and runs non-idempotent requests.
class SubmitRouter
{
public:
    using Handler = std::function<void(const SubmitResult &result)>;

    /// \param lease says of which keys this process is home.
    SubmitRouter(RequestServices &services, const HomeLease &lease);

    /// \brief Tells the published bounds.
    void apply(const EnvironmentDocument &document);

    /// \brief Runs \p call here when this seat is the home of its key, else at its home.
    void submit(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler);

    /// \brief Runs \p call here; refuses it when this seat is not the home of its key.
    void submitAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler);

    /// \returns the seat that is home of \p key in \p document.
    static const SeatSpec &homeOf(const EnvironmentDocument &document, std::string_view key);

    const KeyLedger &keyStore() const;

private:
    void forwardToHome(const SubmitCall &call, const SeatSpec &home, TimePoint deadline, Handler handler);
    void runAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline);
    void onOperationFinished(const std::string &key, const std::string &requestId, const SingleShardResult &result);

    RequestServices &services_;
    const HomeLease &lease_;

    KeyLedger keyStore_;
    std::map<std::string, std::shared_ptr<SingleShardOperation>> runningOperations_; // By key.
};

} // namespace magnoliaspan
