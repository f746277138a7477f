/*
 * Checks and acceptance of environment documents.
 */
#include "control/ConfigurationController.h"

#include <fmt/format.h>

namespace magnoliaspan {

std::string_view toString(OfferResult result)
{
    switch (result) {
    case OfferResult::Accepted:
        return "accepted";
    case OfferResult::Same:
        return "same";
    case OfferResult::Older:
        return "older";
    case OfferResult::Conflict:
        return "conflict";
    case OfferResult::Invalid:
        break;
    }
    return "invalid";
}

ConfigurationController::ConfigurationController(const Clock &clock, Journal &journal, Counters &counters, std::string environment)
    : clock_(clock)
    , journal_(journal)
    , counters_(counters)
    , environment_(std::move(environment))
{
}

OfferResult ConfigurationController::offer(std::string_view text, std::string_view source)
{
    const std::string digest = EnvironmentDocument::digestOf(text);
    if (current_ && digest == current_->digest) {
        return OfferResult::Same;
    }
    Diagnostics diagnostics;
    const EnvironmentPtr document = EnvironmentDocument::parse(text, "environment", diagnostics);
    const bool repeated = digest == lastRefusedDigest_;
    lastRefusedDigest_ = digest;
    if (!document) {
        return repeated ? OfferResult::Invalid : refuse(OfferResult::Invalid, source, diagnostics.front().toString());
    }
    if (document->environment != environment_) {
        const std::string reason = fmt::format("environment: got '{}', expected '{}'", document->environment, environment_);
        return repeated ? OfferResult::Invalid : refuse(OfferResult::Invalid, source, reason);
    }
    if (current_ && document->generation < current_->generation) {
        const std::string reason
            = fmt::format("generation: got {}, expected more than the {} in force", document->generation, current_->generation);
        return repeated ? OfferResult::Older : refuse(OfferResult::Older, source, reason);
    }
    if (current_ && document->generation == current_->generation) {
        const std::string reason = fmt::format("generation: {} is already in force with a different digest", document->generation);
        return repeated ? OfferResult::Conflict : refuse(OfferResult::Conflict, source, reason);
    }
    lastRefusedDigest_.clear();
    current_ = document;
    source_ = source;
    acceptedAt_ = clock_.now();
    counters_.add("magnoliaspan_documents_accepted_total");
    journal_.record(
        LogCategory::Config, "", fmt::format("document accepted generation={} digest={} source={}", document->generation, digest, source));
    for (const Listener &listener : listeners_) {
        listener(*document);
    }
    return OfferResult::Accepted;
}

OfferResult ConfigurationController::refuse(OfferResult result, std::string_view source, std::string reason)
{
    counters_.add("magnoliaspan_documents_refused_total");
    journal_.record(
        LogCategory::Config, "", fmt::format("document refused result={} source={} reason=\"{}\"", toString(result), source, reason));
    lastRefusalReason_ = std::move(reason);
    return result;
}

EnvironmentPtr ConfigurationController::current() const
{
    return current_;
}

std::int64_t ConfigurationController::generation() const
{
    return current_ ? current_->generation : 0;
}

void ConfigurationController::onAccepted(Listener listener)
{
    listeners_.push_back(std::move(listener));
}

const std::string &ConfigurationController::source() const
{
    return source_;
}

std::optional<TimePoint> ConfigurationController::acceptedAt() const
{
    return acceptedAt_;
}

const std::string &ConfigurationController::lastRefusalReason() const
{
    return lastRefusalReason_;
}

} // namespace magnoliaspan
