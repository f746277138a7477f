/*
 * Identifies and removes hop-by-hop header fields.
 */
#include "core/Text.h"
#include "forward/ForwardCodec.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace magnoliaspan {

namespace {

constexpr std::array<std::string_view, 10> hopByHopNames = {"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            // The body has been received in full, so no "100 Continue" is needed.
                                                            "expect"};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::vector<std::string> namedByConnection(const std::vector<WireHeader> &headers)
{
    std::vector<std::string> names;
    for (const WireHeader &header : headers) {
        if (!sameHeader(header.name, "connection")) {
            continue;
        }
        for (const std::string_view name : splitAtCommas(header.value)) {
            names.emplace_back(trimmed(name));
        }
    }
    return names;
}

} // namespace

bool sameHeader(std::string_view a, std::string_view b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [name](std::string_view known) { return sameHeader(name, known); });
}

void removeHopByHop(std::vector<WireHeader> &headers)
{
    const std::vector<std::string> named = namedByConnection(headers);
    std::erase_if(headers, [&named](const WireHeader &header) {
        return isHopByHop(header.name)
               || std::any_of(named.begin(), named.end(), [&header](const std::string &name) { return sameHeader(header.name, name); });
    });
}

} // namespace magnoliaspan
