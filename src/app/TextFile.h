/*
 * Reads a file into memory.
 */
#pragma once

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace magnoliaspan {

/// \returns the bytes of the file at \p path, or nothing when it cannot be read.
inline std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace magnoliaspan
