// Conversion between the generated schema types and the plain structs of
// LibModel.

#ifndef CICADADRUM_CONFIGURATION_CONVERSION_H_
#define CICADADRUM_CONFIGURATION_CONVERSION_H_

#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"
#include "schemas/configuration.capnp.h"
#include "schemas/settings.capnp.h"

namespace cicadadrum {

// The functions below copy all fields and check nothing.
Deployment ReadDeployment(schema::Deployment::Reader source);
Configuration ReadConfiguration(schema::Configuration::Reader source);
void WriteConfiguration(const Configuration& configuration,
                        schema::Configuration::Builder target);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_CONVERSION_H_
