#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <filesystem>
#include <memory>
#include <string>

/// Certificates for tests and rehearsals: keys lie unencrypted on disk, and nothing can be revoked.
namespace cometstand::certificates {

/// Who a certificate is for; see net::TlsFiles.
struct Subject {
  /// "store", "relay", "proxy" or "operator".
  std::string role;
  std::string name;
  /// For operators.
  std::string tenant;
};

/// @param text ROLE/NAME or ROLE/NAME/TENANT.
/// @throw Error(Invalid) if it is anything else.
Subject parseSubject(const std::string& text);

/// A certificate authority that keeps its files in one folder: authority.pem and authority.key, and for each
/// subject NAME.pem and NAME.key.
class CertificateMaker {
 public:
  /// Uses the folder's authority, or makes one if there is none.
  /// @param valid_days life of what is made, from now.
  /// @throw Error(InputOutput) if the folder's files cannot be read or written.
  CertificateMaker(std::filesystem::path folder, int valid_days);

  /// Makes a key and a certificate for the subject, over older ones.
  /// @throw Error(InputOutput) if the files cannot be written.
  void make(const Subject& subject);

  std::filesystem::path authorityFile() const { return folder_ / "authority.pem"; }
  std::filesystem::path certificateFile(const std::string& name) const { return folder_ / (name + ".pem"); }
  std::filesystem::path keyFile(const std::string& name) const { return folder_ / (name + ".key"); }

 private:
  struct KeyDeleter {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
  };
  struct CertificateDeleter {
    void operator()(X509* certificate) const { X509_free(certificate); }
  };
  using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;
  using Certificate = std::unique_ptr<X509, CertificateDeleter>;

  void makeAuthority();
  void loadAuthority();
  Certificate sign(const Subject& subject, EVP_PKEY* key, X509* issuer, bool is_authority) const;

  std::filesystem::path folder_;
  int valid_days_;
  Key authority_key_;
  Certificate authority_;
};

}  // namespace cometstand::certificates
