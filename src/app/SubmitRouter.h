/*
 * Routes each submit to the home seat of its idempotency key and runs it there.
 *
 * The home of a key is chosen among the published seats by rendezvous hashing
 * (Thaler and Ravishankar, 1998), so that all entry hosts agree on it without
 * communication. The home stores the key; a resend through any entry host is
 * therefore checked against the same store.
 */
#pragma once

#include "control/IdempotencyKeyStore.h"
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

    /// \param lease determines the keys that this process may admit as their home.
    SubmitRouter(RequestServices &services, const HomeLease &lease);

    /// \brief Applies the published clock offset bound and key lifetime.
    void apply(const EnvironmentDocument &document);

    /// \brief Runs \p call on this host when its seat is the home of \p key, otherwise forwards it to the home seat.
    void submit(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler);

    /// \brief Runs \p call on this host; refuses it when this seat is not the home of \p key.
    void submitAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler);

    /// \returns the seat of \p document that is the home of \p key.
    /// \pre \p document has at least one seat.
    static const SeatSpec &homeOf(const EnvironmentDocument &document, std::string_view key);

    const IdempotencyKeyStore &keyStore() const;

private:
    void forwardToHome(const SubmitCall &call, const SeatSpec &home, TimePoint deadline, Handler handler);
    void runAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline);
    void onOperationFinished(const std::string &key, const std::string &requestId, const SingleShardResult &result);

    RequestServices &services_;
    const HomeLease &lease_;

    IdempotencyKeyStore keyStore_;
    std::map<std::string, std::shared_ptr<SingleShardOperation>> runningOperations_; // In progress, by key.
};

} // namespace magnoliaspan
