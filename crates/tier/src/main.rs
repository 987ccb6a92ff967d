fn main() {
    let path = std::env::var("RAINLUG_SETTINGS").unwrap_or_default();
    println!("{}", std::fs::read_to_string(path).unwrap_or_default());
    std::thread::sleep(std::time::Duration::from_secs(100));
}
