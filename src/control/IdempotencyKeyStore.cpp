/*
 * Rules by which the submit of a key runs at most once.
 */
#include "control/IdempotencyKeyStore.h"

#include <cassert>
#include <charconv>

namespace magnoliaspan {

namespace {

constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;

} // namespace

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    const auto dash = text.find('-');
    const bool isWellFormed = dash != std::string_view::npos && dash > 0 && dash + 1 < text.size() && text.size() <= maxLength;
    if (!isWellFormed) {
        return std::nullopt;
    }
    for (const char c : text) {
        if (c < '!' || c > '~') {
            return std::nullopt;
        }
    }
    std::int64_t issued = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + dash, issued);
    constexpr std::int64_t maxUnixMs = 100'000'000'000'000;
    if (error != std::errc{} || end != text.data() + dash || issued < 0 || issued > maxUnixMs) {
        return std::nullopt;
    }
    return IdempotencyKey{std::string(text), WallTime(std::chrono::milliseconds(issued))};
}

IdempotencyKeyStore::IdempotencyKeyStore(const Clock &clock, WindowSource window)
    : clock_(clock)
    , window_(std::move(window))
{
}

void IdempotencyKeyStore::configure(Duration clockOffsetBound, Duration keyLifetime)
{
    clockOffsetBound_ = clockOffsetBound;
    keyLifetime_ = keyLifetime;
}

std::optional<SubmitResult> IdempotencyKeyStore::refusalByIssueTime(const IdempotencyKey &key, Verdict unknownVerdict) const
{
    const WallTime now = clock_.wallNow();
    const auto offsetBound = std::chrono::ceil<std::chrono::milliseconds>(clockOffsetBound_);
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(keyLifetime_);
    // Another home whose clock was ahead of this one may have accepted a key issued up to twice the bound from now.
    if (key.issued > now + 2 * offsetBound) {
        return SubmitResult{
            Verdict::NotRun, statusUnprocessable, "key_from_future", "the key's issue time is later than this host's clock", ""};
    }
    if (key.issued > now + offsetBound) {
        return SubmitResult{
            Verdict::MayHaveRun, statusUnprocessable, "key_from_future", "the key's issue time is later than this host's clock", ""};
    }
    if (key.issued + lifetime < now) {
        return SubmitResult{
            Verdict::MayHaveRun, statusUnprocessable, "key_expired", "the key is older than the published key_lifetime", ""};
    }
    const auto window = window_();
    if (window && key.issued <= window->after + offsetBound) {
        return SubmitResult{
            unknownVerdict, statusUnavailable, "key_older_than_host", "this host became the home of the key after the key was issued", ""};
    }
    if (!window || key.issued > window->upTo) {
        // A successor that this host does not know of yet may accept such keys.
        return SubmitResult{
            unknownVerdict, statusUnavailable, "home_unconfirmed", "too few other entry hosts confirm this one as the home of the key", ""};
    }
    return std::nullopt;
}

IdempotencyKeyStore::Admission
IdempotencyKeyStore::admit(const IdempotencyKey &key, std::uint64_t contentHash, Verdict unknownVerdict, CompletionHandler handler)
{
    removeExpired();
    const auto found = records_.find(key.text);
    if (found != records_.end()) {
        Record &record = found->second;
        if (record.contentHash != contentHash) {
            handler({Verdict::NotRun, statusConflict, "key_reused", "the key was used for another payload; this payload was not run", ""});
            return Admission::Ended;
        }
        if (record.result) {
            handler(*record.result);
            return Admission::Ended;
        }
        record.completionHandlers.push_back(std::move(handler));
        return Admission::Waiting;
    }
    if (const auto refusal = refusalByIssueTime(key, unknownVerdict)) {
        handler(*refusal);
        return Admission::Ended;
    }
    if (records_.size() >= capacity) {
        handler({Verdict::NotRun, statusUnavailable, "too_many_keys", "the maximum number of stored keys is reached", ""});
        return Admission::Ended;
    }
    Record &record = records_[key.text];
    record.contentHash = contentHash;
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(keyLifetime_);
    record.expiresAt = key.issued + lifetime + 2 * std::chrono::ceil<std::chrono::milliseconds>(clockOffsetBound_);
    record.completionHandlers.push_back(std::move(handler));
    return Admission::Run;
}

void IdempotencyKeyStore::complete(std::string_view key, const SubmitResult &result)
{
    const auto found = records_.find(key);
    assert(found != records_.end() && !found->second.result && "complete() must be called once after admit() has returned Run");
    std::vector<CompletionHandler> handlers = std::move(found->second.completionHandlers);
    if (result.verdict == Verdict::NotRun) {
        // The caller may retry with the same key.
        records_.erase(found);
    } else {
        found->second.completionHandlers.clear();
        found->second.result = result;
    }
    for (const CompletionHandler &handler : handlers) {
        handler(result);
    }
}

std::size_t IdempotencyKeyStore::size() const
{
    return records_.size();
}

void IdempotencyKeyStore::removeExpired()
{
    // Keys are sorted by the digits of their issue times, so that the oldest come first.
    const WallTime now = clock_.wallNow();
    while (!records_.empty()) {
        const auto first = records_.begin();
        if (!first->second.result || first->second.expiresAt > now) {
            return;
        }
        records_.erase(first);
    }
}

} // namespace magnoliaspan
