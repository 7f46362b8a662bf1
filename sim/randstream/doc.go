// Package randstream gives each part of a simulation a stream of random numbers of its own, so that one draw more in one part
// changes nothing in another. It keeps no state beyond the streams that it hands out.
package randstream
