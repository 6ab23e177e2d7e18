/**
 * What a real manager costs before a long list of engines: manager processes on loopback between a
 * stand-in for the command channel and stand-ins for engines, with memory, processor time and bytes
 * counted for each.
 */
package tansytrack.lab.footprint;
