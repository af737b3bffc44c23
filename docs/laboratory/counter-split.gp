set terminal svg size 900,480
set output 'counter-split.svg'
set title 'counter-split: units admitted a second, all customers (median over seeds; simulated)'
set xlabel 'seconds'
set ylabel 'units a second for each gatekeeper'
set key outside
plot 'counter-split-3-pool.dat' with lines title '3, pool', 'counter-split-3-slices.dat' with lines title '3, slices alone', 'counter-split-30-pool.dat' with lines title '30, pool', 'counter-split-30-slices.dat' with lines title '30, slices alone', 'counter-split-300-pool.dat' with lines title '300, pool', 'counter-split-300-slices.dat' with lines title '300, slices alone'
