//! Prints the fault matrix.

use masticlock_scenario::matrix;

fn main() {
    print!("{}", matrix::page(&matrix::all()));
}
