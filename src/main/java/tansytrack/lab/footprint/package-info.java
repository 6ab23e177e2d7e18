/**
 * Measures the resource usage of real managers that have a long engine list. Manager processes run
 * on the loopback interface against stub command channels and stub engines; memory, CPU time and
 * network bytes are measured for each manager.
 */
package tansytrack.lab.footprint;
