#pragma once

/// The bootstrap credential of a scale run's store. The token is for runs on one machine only.
namespace cometstand::rehearsal {

inline constexpr const char* kAdministratorTenant = "mesh";
inline constexpr const char* kAdministratorName = "bootstrap";
inline constexpr const char* kAdministratorToken = "scale-run";
/// Hexadecimal.
inline constexpr const char* kAdministratorSalt = "00112233445566778899aabbccddeeff";
/// SHA-256 of salt followed by token, hexadecimal.
inline constexpr const char* kAdministratorTokenHash =
    "205ad9c203c99b335b9d8808ea47883539bfab7c6baedabac3a424bcb3aba222";

}  // namespace cometstand::rehearsal
