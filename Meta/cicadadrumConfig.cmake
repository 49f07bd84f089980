include(CMakeFindDependencyMacro)
find_dependency(CapnProto)
include(${CMAKE_CURRENT_LIST_DIR}/cicadadrumTargets.cmake)
