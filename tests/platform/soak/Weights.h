#pragma once

#include <cstdint>
#include <string>

namespace hyssopwick::soak {

constexpr const char* modelName = "m0";
constexpr unsigned layerCount = 16;
constexpr unsigned pieceCount = 8;
constexpr std::size_t pieceBytes = 32768;

/// Returns the bytes of one piece of a version.
std::string pieceOf(std::uint64_t version, unsigned number);

/// Returns the manifest of a version as JSON text.
std::string manifestOf(std::uint64_t version);

}
