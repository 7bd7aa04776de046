#include <catch2/catch.hpp>
#include <string>

#include "contract/service_config.h"

namespace geranium {
namespace {

class ServiceTextTest {
 protected:
  const std::string centre_ = "[data_centre gyor]\nregion = hungary\n";

  std::string ErrorOf(const std::string& services) const {
    const auto text = ParseServiceConfig(centre_ + services);
    return text ? "" : text.error().message;
  }
};

TEST_CASE_METHOD(ServiceTextTest, "ServiceText valid text is read whole") {
  const auto text = ParseServiceConfig(
      centre_ +
      "[service lookup]\nclass = urgent\nidempotent = true\n"
      "[service booking]\ndepends = lookup\ntimeout_ms = 700\n"
      "[team north]\nweight = 3\nquota = 50\n");
  REQUIRE(text.has_value());
  const ServiceSpec& booking = text.value().services.at(ServiceName("booking"));
  CHECK(booking.depends == std::vector{ServiceName("lookup")});
  CHECK(booking.timeout == Duration(700));
  CHECK_FALSE(booking.idempotent);
  CHECK(text.value().services.at(ServiceName("lookup")).task_class ==
        TaskClass::kUrgent);
  CHECK(text.value().teams.at(TeamName("north")).quota == 50);
}

TEST_CASE_METHOD(ServiceTextTest, "ServiceText mistakes are named") {
  CHECK(ErrorOf("[service a]\ndepends = b\n").find("'b'") != std::string::npos);
  CHECK(ErrorOf("[service a]\ndepends = b\n[service b]\ndepends = a\n")
            .find("cycle") != std::string::npos);
  CHECK(ErrorOf("[service a]\ntimeout_ms = 5s\n").find("timeout_ms") !=
        std::string::npos);
  CHECK(ErrorOf("[service a]\ncolour = red\n").find("unknown") !=
        std::string::npos);
  CHECK(ErrorOf("[service a]\nclass = soon\n").find("urgent") !=
        std::string::npos);
  CHECK(ErrorOf("[service a]\n").find("no key") != std::string::npos);
  CHECK(ErrorOf("").find("no service") != std::string::npos);
}

}  // namespace
}  // namespace geranium
