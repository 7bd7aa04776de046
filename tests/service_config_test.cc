#include "contract/service_config.h"

#include <catch2/catch.hpp>
#include <string>

namespace geranium {
namespace {

class ServiceConfigTest {
 protected:
  const std::string data_centre_ = "[data_centre gyor]\nregion = hungary\n";

  std::string ParseErrorOf(const std::string& services) const {
    const auto config = ParseServiceConfig(data_centre_ + services);
    return config ? "" : config.error().message;
  }
};

TEST_CASE_METHOD(ServiceConfigTest,
                 "ServiceConfig with valid text is parsed completely") {
  const auto config = ParseServiceConfig(
      data_centre_ +
      "[service lookup]\nclass = urgent\nidempotent = true\n"
      "[service booking]\ndepends = lookup\ntimeout_ms = 700\n"
      "[team north]\nweight = 3\nquota = 50\n");
  REQUIRE(config.has_value());
  const ServiceSpec& booking =
      config.value().services.at(ServiceName("booking"));
  CHECK(booking.depends == std::vector{ServiceName("lookup")});
  CHECK(booking.timeout == Duration(700));
  CHECK_FALSE(booking.idempotent);
  CHECK(config.value().services.at(ServiceName("lookup")).task_class ==
        TaskClass::kUrgent);
  CHECK(config.value().teams.at(TeamName("north")).quota == 50);
}

TEST_CASE_METHOD(
    ServiceConfigTest,
    "ServiceConfig with invalid text gives an error that names the mistake") {
  CHECK(ParseErrorOf("[service a]\ndepends = b\n").find("'b'") !=
        std::string::npos);
  CHECK(ParseErrorOf("[service a]\ndepends = b\n[service b]\ndepends = a\n")
            .find("cycle") != std::string::npos);
  CHECK(ParseErrorOf("[service a]\ntimeout_ms = 5s\n").find("timeout_ms") !=
        std::string::npos);
  CHECK(ParseErrorOf("[service a]\ncolour = red\n").find("unknown") !=
        std::string::npos);
  CHECK(ParseErrorOf("[service a]\nclass = soon\n").find("urgent") !=
        std::string::npos);
  CHECK(ParseErrorOf("[service a]\n").find("no key") != std::string::npos);
  CHECK(ParseErrorOf("").find("no service") != std::string::npos);
}

}  // namespace
}  // namespace geranium
