#include "rehearsal/certificates/certificate_maker.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

#include "base/error.h"

namespace cometstand::certificates {
namespace {

constexpr auto kAuthorityName = "authority";
constexpr int kKeyFileMode = 0600;
constexpr int kCertificateFileMode = 0644;

struct FileCloser {
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using File = std::unique_ptr<std::FILE, FileCloser>;

Error fileError(const std::filesystem::path& path, const std::string& verb) {
  return Error(ErrorKind::InputOutput, fmt::format("cannot {} {}", verb, path.string()),
               "check the folder's permissions and free space");
}

/// OpenSSL calls fail here only for lack of memory or randomness.
void require(bool succeeded, const std::string& what) {
  if (succeeded) return;
  throw Error(ErrorKind::InputOutput, "OpenSSL failed to " + what, "check memory and the library's version");
}

File openForWriting(const std::filesystem::path& path, int mode) {
  const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
  File file(descriptor < 0 ? nullptr : ::fdopen(descriptor, "w"));
  if (!file) throw fileError(path, "write");
  return file;
}

File openForReading(const std::filesystem::path& path) {
  File file(std::fopen(path.c_str(), "re"));
  if (!file) throw fileError(path, "read");
  return file;
}

void writeKey(const std::filesystem::path& path, EVP_PKEY* key) {
  const auto file = openForWriting(path, kKeyFileMode);
  if (PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1) {
    throw fileError(path, "write");
  }
}

void writeCertificate(const std::filesystem::path& path, X509* certificate) {
  const auto file = openForWriting(path, kCertificateFileMode);
  if (PEM_write_X509(file.get(), certificate) != 1) throw fileError(path, "write");
}

void addField(X509_NAME* name, const char* field, const std::string& value) {
  if (value.empty()) return;
  const auto* bytes = reinterpret_cast<const unsigned char*>(value.data());
  const auto length = static_cast<int>(value.size());
  require(X509_NAME_add_entry_by_txt(name, field, MBSTRING_UTF8, bytes, length, -1, 0) == 1,
          "set the subject, whose fields have at most 64 characters");
}

void setRandomSerial(X509* certificate) {
  std::uint64_t serial = 0;
  require(RAND_bytes(reinterpret_cast<unsigned char*>(&serial), sizeof serial) == 1, "make a serial number");
  ASN1_INTEGER_set_uint64(X509_get_serialNumber(certificate), serial);
}

void addExtension(X509* certificate, int identifier, const char* value) {
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, identifier, value);
  require(extension != nullptr, "make an extension");
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

}  // namespace

Subject parseSubject(const std::string& text) {
  Subject subject;
  const auto first = text.find('/');
  const auto second = first == std::string::npos ? first : text.find('/', first + 1);
  subject.role = text.substr(0, first);
  if (first != std::string::npos) subject.name = text.substr(first + 1, second - first - 1);
  if (second != std::string::npos) subject.tenant = text.substr(second + 1);
  if (subject.role.empty() || subject.name.empty() || subject.tenant.find('/') != std::string::npos ||
      subject.name == kAuthorityName) {
    throw Error(ErrorKind::Invalid, fmt::format("\"{}\" is not a subject", text),
                "write ROLE/NAME or ROLE/NAME/TENANT, such as store/store-1; the name authority is taken");
  }
  return subject;
}

CertificateMaker::CertificateMaker(std::filesystem::path folder, int valid_days)
    : folder_(std::move(folder)), valid_days_(valid_days) {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) throw fileError(folder_, "create");
  if (std::filesystem::exists(keyFile(kAuthorityName))) {
    loadAuthority();
  } else {
    makeAuthority();
  }
}

void CertificateMaker::makeAuthority() {
  authority_key_.reset(EVP_EC_gen("P-256"));
  require(authority_key_ != nullptr, "make a key");
  const Subject subject{"authority", "cometstand test authority", ""};
  authority_ = sign(subject, authority_key_.get(), nullptr, true);
  writeKey(keyFile(kAuthorityName), authority_key_.get());
  writeCertificate(authorityFile(), authority_.get());
}

void CertificateMaker::loadAuthority() {
  const auto key_path = keyFile(kAuthorityName);
  authority_key_.reset(PEM_read_PrivateKey(openForReading(key_path).get(), nullptr, nullptr, nullptr));
  if (!authority_key_) throw fileError(key_path, "read");
  authority_.reset(PEM_read_X509(openForReading(authorityFile()).get(), nullptr, nullptr, nullptr));
  if (!authority_) throw fileError(authorityFile(), "read");
}

void CertificateMaker::make(const Subject& subject) {
  const Key key(EVP_EC_gen("P-256"));
  require(key != nullptr, "make a key");
  const auto certificate = sign(subject, key.get(), authority_.get(), false);
  writeKey(keyFile(subject.name), key.get());
  writeCertificate(certificateFile(subject.name), certificate.get());
}

CertificateMaker::Certificate CertificateMaker::sign(const Subject& subject, EVP_PKEY* key, X509* issuer,
                                                     bool is_authority) const {
  constexpr long kSecondsPerDay = 24L * 60 * 60;
  // Machines' clocks differ a little: valid from a day ago.
  Certificate certificate(X509_new());
  require(certificate != nullptr, "make a certificate");
  X509_set_version(certificate.get(), X509_VERSION_3);
  setRandomSerial(certificate.get());
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kSecondsPerDay);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kSecondsPerDay * valid_days_);
  X509_set_pubkey(certificate.get(), key);
  X509_NAME* name = X509_get_subject_name(certificate.get());
  addField(name, "O", subject.tenant);
  addField(name, "OU", subject.role);
  addField(name, "CN", subject.name);
  X509* signer = issuer != nullptr ? issuer : certificate.get();
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(signer));
  addExtension(certificate.get(), NID_basic_constraints,
               is_authority ? "critical,CA:TRUE" : "critical,CA:FALSE");
  addExtension(certificate.get(), NID_key_usage,
               is_authority ? "critical,keyCertSign,cRLSign" : "critical,digitalSignature");
  require(X509_sign(certificate.get(), authority_key_.get(), EVP_sha256()) != 0, "sign a certificate");
  return certificate;
}

}  // namespace cometstand::certificates
