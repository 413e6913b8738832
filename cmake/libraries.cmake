# Arrows point downwards only: a library names what it may include.
set(GLIB PkgConfig::glib-2.0)
set(EVENT PkgConfig::libevent PkgConfig::libevent_openssl PkgConfig::openssl)

ac_library(base LIBS ${GLIB} PkgConfig::gsl)
ac_library(conf DEPS base LIBS ${GLIB} PkgConfig::jansson PkgConfig::libxxhash)
ac_library(keys DEPS conf base LIBS PkgConfig::openssl)
ac_library(wire DEPS base LIBS ${GLIB} ${EVENT} PkgConfig::msgpack)
ac_library(replog DEPS base LIBS ${GLIB} PkgConfig::msgpack
	PkgConfig::libxxhash)
ac_library(codec DEPS base LIBS ${GLIB} PkgConfig::msgpack)
ac_library(state DEPS codec conf base LIBS ${GLIB} PkgConfig::msgpack
	PkgConfig::libxxhash)
ac_library(route DEPS base LIBS ${GLIB} PkgConfig::libxxhash PkgConfig::gsl)
ac_library(request DEPS base LIBS ${GLIB} PkgConfig::jansson)
ac_library(rollout DEPS base LIBS ${GLIB} PkgConfig::msgpack PkgConfig::libxxhash PkgConfig::gsl)
ac_library(placement DEPS base LIBS ${GLIB})
ac_library(members DEPS placement replog base)
ac_library(report DEPS base LIBS ${GLIB} PkgConfig::jansson)
ac_library(back DEPS base LIBS ${GLIB} ${EVENT} PkgConfig::jansson)
ac_library(front DEPS base LIBS ${GLIB} ${EVENT} PkgConfig::evhtp
	PkgConfig::jansson)
ac_library(fleet DEPS codec conf base LIBS ${GLIB} PkgConfig::msgpack
	PkgConfig::libxxhash)
ac_library(platform DEPS fleet front back conf base LIBS ${GLIB}
	PkgConfig::jansson)
ac_library(cli DEPS platform fleet keys report back conf base LIBS ${GLIB} PkgConfig::argtable2
	PkgConfig::jansson)
ac_library(load DEPS report back cli conf base LIBS ${GLIB} ${EVENT}
	PkgConfig::argtable2 PkgConfig::jansson PkgConfig::libxxhash)
ac_library(loop DEPS base LIBS ${GLIB} ${EVENT})
ac_library(control DEPS keys loop platform front back report members placement rollout
	state replog wire conf base
	LIBS ${GLIB} ${EVENT} PkgConfig::jansson PkgConfig::msgpack)
ac_library(entry DEPS keys loop front back report rollout route request
	state wire conf base
	LIBS ${GLIB} ${EVENT} PkgConfig::jansson PkgConfig::msgpack
	PkgConfig::libxxhash)
ac_library(gateway DEPS platform fleet route rollout loop front back wire conf base
	LIBS ${GLIB} ${EVENT} PkgConfig::libxxhash)
ac_library(hub DEPS platform fleet loop front back members placement rollout replog wire codec
	conf base LIBS ${GLIB} ${EVENT})
ac_library(app DEPS hub gateway platform fleet control entry cli load loop keys conf base
	LIBS ${GLIB} PkgConfig::argtable2)

add_executable(acaciahinge src/main.c)
target_link_libraries(acaciahinge app)
