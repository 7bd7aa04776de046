#ifndef GERANIUM_DATA_CENTRE_CONFIGURATION_STATE_H_
#define GERANIUM_DATA_CENTRE_CONFIGURATION_STATE_H_

#include <string>
#include <vector>

#include "base/ids.h"

namespace geranium {

/// Whether tasks may start in a data centre, and since which version.
struct DataCentreState {
  DataCentreName name;
  bool in = true;
  Version changed;

  template <class A>
  void Fields(A& a) {
    a(name)(in)(changed);
  }
};

/// The configuration in force: its text and the states of the data centres.
struct ConfigurationState {
  Version version;       ///< Of the newest accepted change of any kind.
  Version text_version;  ///< Of the text.
  std::string text;
  std::vector<DataCentreState> data_centres;

  template <class A>
  void Fields(A& a) {
    a(version)(text_version)(text)(data_centres);
  }
};

}  // namespace geranium

#endif  // GERANIUM_DATA_CENTRE_CONFIGURATION_STATE_H_
