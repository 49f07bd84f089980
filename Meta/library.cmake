# cicadadrum_library(Name [DEPENDS target...]) defines LibName from the sources in its folder, with public
# headers in include/ and private headers beside the sources, and installs both.
function(cicadadrum_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE $<BUILD_INTERFACE:cicadadrum_flags>)
  set_target_properties(${name} PROPERTIES OUTPUT_NAME cicadadrum-${name})
  install(TARGETS ${name} EXPORT cicadadrumTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} OPTIONAL)
endfunction()

# cicadadrum_program(file-name DEPENDS target...) defines a program from the sources in its folder.
function(cicadadrum_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} cicadadrum_flags)
  install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endfunction()

# cicadadrum_test(Name [SOURCES file...] DEPENDS target...) defines a doctest program of one folder of Tests/, by default
# of all its sources.
function(cicadadrum_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_SOURCES)
    file(GLOB ARG_SOURCES CONFIGURE_DEPENDS *.cc)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE TestMain ${ARG_DEPENDS} rapidcheck cicadadrum_flags)
  target_compile_definitions(${name} PRIVATE CICADADRUM_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  # Leaves out the tests that KNOWN-RED.txt lists.
  add_test(NAME ${name} COMMAND ${PROJECT_SOURCE_DIR}/Meta/known_red.sh run $<TARGET_FILE:${name}>)
  # A fixed seed makes every run of the properties the same run.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
